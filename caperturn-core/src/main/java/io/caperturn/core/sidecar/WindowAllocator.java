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
 * <p>Each entry has a window, the maximum number of attempts that it may have outstanding here. An entry is idle if it
 * has neither outstanding attempts nor waiting tasks (demand) for this sidecar. It keeps a small window, so that it can
 * send a single request without asking first; all idle entries together reserve at most a part of the capacity. The
 * slots are divided max-min fairly by the number of outstanding and waiting tasks of each entry. The sidecar's queue
 * holds attempts beyond the slots, up to the capacity: those sent within the small windows of idle entries, and those
 * that entries send before they learn that their window has shrunk. Confined to the thread of the
 * {@link SidecarMachine}.
 */
final class WindowAllocator {
    private static final int MAXIMUM_IDLE_WINDOW = 4;

    /** The capacity divided by this is the window of an idle entry, between 1 and {@link #MAXIMUM_IDLE_WINDOW}. */
    private static final int IDLE_WINDOW_DIVISOR = 4;

    /** The capacity divided by this is the maximum that all idle entries together reserve. */
    private static final int IDLE_RESERVE_DIVISOR = 4;

    /** Demand that is not repeated within this time expires; longer than the interval at which entries repeat it. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(1);

    /** The last sent window divided by this, at least 1, is the growth for which a window gets a message of its own. */
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
            state.demandAt = now;
        }
    }

    /**
     * Recomputes all windows; a capacity of 0 closes them.
     *
     * @param slots the maximum number of attempts that run at once
     * @param capacity the maximum number of attempts that run or are queued at once
     * @param outstanding the number of outstanding attempts of each entry, lost entries included
     * @param now the current time
     */
    void allocate(int slots, int capacity, Map<ProcessId, Integer> outstanding, Instant now) {
        int idleWindow = idleWindow(capacity);
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
        int idleWindowSum = (entryStates.size() - active.size()) * idleWindow;
        int reserved = Math.min(idleWindowSum, capacity / IDLE_RESERVE_DIVISOR);
        active.sort(Comparator.comparingInt(state -> state.wantedWindow));
        int remaining =
                grantWanted(active, Math.min(slots, capacity - reserved) - countOutstandingOfLostEntries(outstanding));
        grantRemaining(active, remaining);
        entryStates.values().forEach(state -> state.window = Math.max(state.window, idleWindow));
    }

    private static int idleWindow(int capacity) {
        if (capacity == 0) {
            return 0;
        }
        return Math.clamp(capacity / IDLE_WINDOW_DIVISOR, 1, MAXIMUM_IDLE_WINDOW);
    }

    /** Returns the window last allocated and records that it is sent to the entry. */
    int takeWindowToSend(ProcessId entry) {
        EntryState state = entryStates.get(entry);
        state.lastSentWindow = state.window;
        return state.window;
    }

    /**
     * Returns the entries with demand whose window has grown enough for a separate message.
     *
     * @param anyGrowth whether growth by a single attempt is enough
     */
    List<ProcessId> findGrown(boolean anyGrowth) {
        return entryStates.entrySet().stream()
                .filter(entry -> entry.getValue().hasGrown(anyGrowth))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of outstanding attempts of entries whose links are lost; they still occupy slots. */
    private int countOutstandingOfLostEntries(Map<ProcessId, Integer> outstanding) {
        return outstanding.entrySet().stream()
                .filter(entry -> !entryStates.containsKey(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /**
     * Grants each entry up to its wanted window and returns the slots left to grant. The entries are sorted by wanted
     * window, so that what the first ones leave goes to those that want more.
     */
    private static int grantWanted(List<EntryState> active, int slotsToGrant) {
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

    /** Divides the slots left to grant equally among the active entries. */
    private static void grantRemaining(List<EntryState> active, int slotsToGrant) {
        int remaining = slotsToGrant;
        int entriesLeft = active.size();
        for (EntryState state : active) {
            int granted = Math.max(0, remaining / entriesLeft);
            state.window += granted;
            remaining -= granted;
            entriesLeft--;
        }
    }

    /** Demand, wanted window, allocated window and last sent window of one entry. */
    private static final class EntryState {
        private int demand;
        private Instant demandAt = Instant.MIN;
        private int wantedWindow;
        private int window;
        private int lastSentWindow;

        private void expireDemand(Instant now) {
            if (demand > 0 && !now.isBefore(demandAt.plus(DEMAND_LIFETIME))) {
                demand = 0;
            }
        }

        private boolean hasGrown(boolean anyGrowth) {
            int minimumGrowth = anyGrowth ? 1 : Math.max(1, lastSentWindow / MESSAGE_GROWTH_DIVISOR);
            return demand > 0 && window - lastSentWindow >= minimumGrowth;
        }
    }
}
