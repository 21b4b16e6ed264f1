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
 * Allocates the sidecar's slots to the linked entries.
 *
 * <p>Each entry has a window, the maximum number of attempts that it may have outstanding here. An idle entry keeps a
 * small window, so that it can send a single request without asking first; all idle entries together reserve at most a
 * part of the capacity. The slots are divided max-min fairly by the number of outstanding and waiting tasks of each
 * entry. The queue absorbs the small windows of idle entries and the attempts that entries send before they learn that
 * their window has shrunk. Confined to the thread of the {@link SidecarMachine}.
 */
final class WindowAllocator {
    private static final int MAXIMUM_IDLE_WINDOW = 4;
    /** The capacity divided by this is the window of an idle entry, between 1 and {@link #MAXIMUM_IDLE_WINDOW}. */
    private static final int IDLE_WINDOW_DIVISOR = 4;
    /** The capacity divided by this is the most that all idle entries together reserve. */
    private static final int IDLE_RESERVE_DIVISOR = 4;
    /** Demand that is not repeated within this time expires; longer than the interval at which entries repeat it. */
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(1);
    /** A window is sent in a separate message once it has grown by the last sent window divided by this. */
    private static final int MESSAGE_GROWTH_DIVISOR = 4;

    private final Map<ProcessId, Share> shares = new LinkedHashMap<>();

    void addEntry(ProcessId entry) {
        shares.put(entry, new Share());
    }

    void removeEntry(ProcessId entry) {
        shares.remove(entry);
    }

    boolean isLinked(ProcessId entry) {
        return shares.containsKey(entry);
    }

    Set<ProcessId> entries() {
        return shares.keySet();
    }

    void setDemand(ProcessId entry, int demand, Instant now) {
        Share share = shares.get(entry);
        if (share != null) {
            share.demand = demand;
            share.demandAt = now;
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
        List<Share> active = new ArrayList<>();
        for (Map.Entry<ProcessId, Share> entry : shares.entrySet()) {
            Share share = entry.getValue();
            share.expireDemand(now);
            share.wanted = outstanding.getOrDefault(entry.getKey(), 0) + share.demand;
            share.window = 0;
            if (share.wanted > 0) {
                active.add(share);
            }
        }
        int idle = (shares.size() - active.size()) * idleWindow;
        int reserved = Math.min(idle, capacity / IDLE_RESERVE_DIVISOR);
        active.sort(Comparator.comparingInt(share -> share.wanted));
        int remaining = grantWanted(active, Math.min(slots, capacity - reserved) - countOfLostEntries(outstanding));
        grantRemaining(active, remaining);
        shares.values().forEach(share -> share.window = Math.max(share.window, idleWindow));
    }

    private static int idleWindow(int capacity) {
        if (capacity == 0) {
            return 0;
        }
        return Math.clamp(capacity / IDLE_WINDOW_DIVISOR, 1, MAXIMUM_IDLE_WINDOW);
    }

    /** Returns the window last allocated and records that it is sent to the entry. */
    int takeWindowToSend(ProcessId entry) {
        Share share = shares.get(entry);
        share.lastSent = share.window;
        return share.window;
    }

    /**
     * Returns the entries with demand whose window has grown enough for a separate message.
     *
     * @param anyGrowth whether growth by a single attempt is enough
     */
    List<ProcessId> findGrown(boolean anyGrowth) {
        return shares.entrySet().stream()
                .filter(entry -> entry.getValue().hasGrown(anyGrowth))
                .map(Map.Entry::getKey)
                .toList();
    }

    private int countOfLostEntries(Map<ProcessId, Integer> outstanding) {
        return outstanding.entrySet().stream()
                .filter(entry -> !shares.containsKey(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private static int grantWanted(List<Share> active, int capacity) {
        int remaining = capacity;
        int sharesLeft = active.size();
        for (Share share : active) {
            int granted = Math.max(0, Math.min(share.wanted - share.window, remaining / sharesLeft));
            share.window += granted;
            remaining -= granted;
            sharesLeft--;
        }
        return remaining;
    }

    private static void grantRemaining(List<Share> active, int capacity) {
        int remaining = capacity;
        int sharesLeft = active.size();
        for (Share share : active) {
            int granted = Math.max(0, remaining / sharesLeft);
            share.window += granted;
            remaining -= granted;
            sharesLeft--;
        }
    }

    /** Demand, window and last sent window of one entry. */
    private static final class Share {
        private int demand;
        private Instant demandAt = Instant.MIN;
        private int wanted;
        private int window;
        private int lastSent;

        private void expireDemand(Instant now) {
            if (demand > 0 && !now.isBefore(demandAt.plus(DEMAND_LIFETIME))) {
                demand = 0;
            }
        }

        private boolean hasGrown(boolean anyGrowth) {
            int minimumGrowth = anyGrowth ? 1 : Math.max(1, lastSent / MESSAGE_GROWTH_DIVISOR);
            return demand > 0 && window - lastSent >= minimumGrowth;
        }
    }
}
