package io.caperturn.core.sidecar;

import io.caperturn.core.model.ProcessId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Allocates the sidecar's slots to the linked entries (processes that dispatch attempts to this sidecar).
 *
 * <p>Each entry has a window, the maximum number of attempts that it may have outstanding here. The demand of an entry
 * is the number of tasks that wait there and could run here. The slots (concurrent runs at the upstream) are divided
 * max-min fairly: each entry wants a window of its outstanding attempts plus demand.
 *
 * <p>An entry without outstanding attempts and demand is idle. It keeps a small window, so that it can send a few
 * attempts without announcing demand first. The slots reserved for all idle entries together are at most a part of the
 * capacity, which is the slots plus the places in the sidecar's queue. The queue holds attempts that exceed the slots:
 * those sent within the windows of idle entries, and those sent before an entry learns that its window has shrunk.
 * Confined to the thread of the {@link SidecarMachine}.
 */
final class WindowAllocator {
    /** Maximum window of an idle entry, in attempts. */
    private static final int MAXIMUM_IDLE_WINDOW = 4;

    /** An idle entry's window is the capacity divided by this, from 1 to {@link #MAXIMUM_IDLE_WINDOW}. */
    private static final int IDLE_WINDOW_DIVISOR = 4;

    /** The slots reserved for all idle entries together are at most the capacity divided by this. */
    private static final int IDLE_RESERVE_DIVISOR = 4;

    /** Time after which demand expires if it is not repeated; longer than the interval at which entries repeat it. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(1);

    /** A window is sent in its own message once it has grown by the last sent window divided by this, at least by 1. */
    private static final int MESSAGE_GROWTH_DIVISOR = 4;

    private final Map<ProcessId, EntryState> entryStates = new LinkedHashMap<>();

    void addEntry(ProcessId entry) {
        entryStates.put(entry, new EntryState());
    }

    void removeEntry(ProcessId entry) {
        entryStates.remove(entry);
    }

    boolean isLinked(ProcessId entry) {
        return entryStates.containsKey(entry);
    }

    Set<ProcessId> entries() {
        return entryStates.keySet();
    }

    void setDemand(ProcessId entry, int demand, Instant now) {
        EntryState state = entryStates.get(entry);
        if (state != null) {
            state.demand = demand;
            state.demandReceivedAt = now;
        }
    }

    /**
     * Recomputes the windows of all entries; with a capacity of 0, all windows are 0.
     *
     * @param slots the maximum number of concurrent runs
     * @param capacity the maximum number of attempts that run or are queued
     * @param outstanding the number of outstanding attempts of each entry, including entries whose link is lost
     * @param now the current time
     */
    void allocate(int slots, int capacity, Map<ProcessId, Integer> outstanding, Instant now) {
        int idleWindow = computeIdleWindow(capacity);
        List<EntryState> active = new ArrayList<>();
        for (Map.Entry<ProcessId, EntryState> entry : entryStates.entrySet()) {
            EntryState state = entry.getValue();
            state.expireDemand(now);
            state.wantedWindow = outstanding.getOrDefault(entry.getKey(), 0) + state.demand;
            state.window = 0;
            if (state.wantedWindow > 0) {
                active.add(state);
            }
        }
        int sumOfIdleWindows = (entryStates.size() - active.size()) * idleWindow;
        int reserved = Math.min(sumOfIdleWindows, capacity / IDLE_RESERVE_DIVISOR);
        active.sort(Comparator.comparingInt(state -> state.wantedWindow));
        int remaining = grantWantedWindows(
                active, Math.min(slots, capacity - reserved) - countOutstandingOfLostEntries(outstanding));
        grantRemainingSlots(active, remaining);
        entryStates.values().forEach(state -> state.window = Math.max(state.window, idleWindow));
    }

    private static int computeIdleWindow(int capacity) {
        if (capacity == 0) {
            return 0;
        }
        return Math.clamp(capacity / IDLE_WINDOW_DIVISOR, 1, MAXIMUM_IDLE_WINDOW);
    }

    /** Records that the current window is sent to an entry, and returns it. */
    int markWindowSent(ProcessId entry) {
        EntryState state = entryStates.get(entry);
        state.lastSentWindow = state.window;
        return state.window;
    }

    /**
     * Returns the entries with demand whose window has grown enough for a message of its own.
     *
     * @param anyGrowth whether growth by one attempt is enough; otherwise {@link #MESSAGE_GROWTH_DIVISOR} applies
     */
    List<ProcessId> findEntriesWithGrownWindow(boolean anyGrowth) {
        return entryStates.entrySet().stream()
                .filter(entry -> entry.getValue().hasGrown(anyGrowth))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of outstanding attempts of entries whose link is lost; these still occupy slots. */
    private int countOutstandingOfLostEntries(Map<ProcessId, Integer> outstanding) {
        return outstanding.entrySet().stream()
                .filter(entry -> !entryStates.containsKey(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Grants each entry an equal part of the slots, but not more than its wanted window.
     *
     * @param active the entries, sorted by wanted window, so that an entry that wants less than its part leaves the
     *     rest to those that want more
     * @return the number of slots that no entry wanted
     */
    private static int grantWantedWindows(List<EntryState> active, int slotsToGrant) {
        int remaining = slotsToGrant;
        int entriesLeft = active.size();
        for (EntryState state : active) {
            int granted = Math.max(0, Math.min(state.wantedWindow - state.window, remaining / entriesLeft));
            state.window += granted;
            remaining -= granted;
            entriesLeft--;
        }
        return remaining;
    }

    /** Divides the slots that no entry wanted equally among the active entries. */
    private static void grantRemainingSlots(List<EntryState> active, int slotsToGrant) {
        int remaining = slotsToGrant;
        int entriesLeft = active.size();
        for (EntryState state : active) {
            int granted = Math.max(0, remaining / entriesLeft);
            state.window += granted;
            remaining -= granted;
            entriesLeft--;
        }
    }

    /** Demand and windows of one entry. */
    private static final class EntryState {
        private int demand;
        private Instant demandReceivedAt = Instant.MIN;
        private int wantedWindow;
        private int window;
        private int lastSentWindow;

        private void expireDemand(Instant now) {
            if (demand > 0 && !now.isBefore(demandReceivedAt.plus(DEMAND_LIFETIME))) {
                demand = 0;
            }
        }

        private boolean hasGrown(boolean anyGrowth) {
            int minimumGrowth = anyGrowth ? 1 : Math.max(1, lastSentWindow / MESSAGE_GROWTH_DIVISOR);
            return demand > 0 && window - lastSentWindow >= minimumGrowth;
        }
    }
}
