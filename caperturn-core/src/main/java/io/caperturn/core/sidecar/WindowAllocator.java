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
 * Division of the sidecar's slots among the linked entries.
 *
 * <p>Each entry has a window: the most attempts that it may have outstanding here. An idle entry keeps a small one, so
 * that a lone request needs no message before it, and all idle entries together hold back no more than a part of the
 * capacity. The slots are divided max-min fairly by what each entry has outstanding and waiting; the places for waiting
 * attempts take up the small windows, and what entries send before they learn of a smaller one. Confined to the thread
 * of the {@link SidecarMachine}.
 */
final class WindowAllocator {
    private static final int IDLE_WINDOW = 4;
    private static final int IDLE_WINDOW_DIVISOR = 4;
    private static final int IDLE_PART_DIVISOR = 4;
    private static final Duration DEMAND_LIFETIME = Duration.ofSeconds(1);
    private static final int GROWTH_DIVISOR = 4;

    private final Map<ProcessId, Share> shares = new LinkedHashMap<>();

    void linked(ProcessId entry) {
        shares.put(entry, new Share());
    }

    void lost(ProcessId entry) {
        shares.remove(entry);
    }

    boolean isLinked(ProcessId entry) {
        return shares.containsKey(entry);
    }

    Set<ProcessId> entries() {
        return shares.keySet();
    }

    void demanded(ProcessId entry, int demand, Instant now) {
        Share share = shares.get(entry);
        if (share != null) {
            share.demand = demand;
            share.demandAt = now;
        }
    }

    /**
     * Divides the slots anew; a capacity of 0 closes all windows.
     *
     * @param slots how many attempts may run at once
     * @param capacity how many may run or wait at once
     */
    void allocate(int slots, int capacity, Map<ProcessId, Integer> outstanding, Instant now) {
        int idleWindow = idleWindow(capacity);
        List<Share> active = new ArrayList<>();
        for (Map.Entry<ProcessId, Share> entry : shares.entrySet()) {
            Share share = entry.getValue();
            share.forgetDemand(now);
            share.wanted = outstanding.getOrDefault(entry.getKey(), 0) + share.demand;
            share.window = 0;
            if (share.wanted > 0) {
                active.add(share);
            }
        }
        int idle = (shares.size() - active.size()) * idleWindow;
        int reserved = Math.min(idle, capacity / IDLE_PART_DIVISOR);
        active.sort(Comparator.comparingInt(share -> share.wanted));
        int left = grantWanted(active, Math.min(slots, capacity - reserved) - countWithoutLink(outstanding));
        grantRest(active, left);
        shares.values().forEach(share -> share.window = Math.max(share.window, idleWindow));
    }

    private static int idleWindow(int capacity) {
        if (capacity == 0) {
            return 0;
        }
        return Math.clamp(capacity / IDLE_WINDOW_DIVISOR, 1, IDLE_WINDOW);
    }

    /** Returns the window last allocated and notes that the entry is told of it. */
    int tell(ProcessId entry) {
        Share share = shares.get(entry);
        share.told = share.window;
        return share.window;
    }

    /** Returns the entries with demand whose window grew enough for a message of its own. */
    List<ProcessId> grown(boolean anyGrowth) {
        return shares.entrySet().stream()
                .filter(entry -> entry.getValue().hasGrown(anyGrowth))
                .map(Map.Entry::getKey)
                .toList();
    }

    private int countWithoutLink(Map<ProcessId, Integer> outstanding) {
        return outstanding.entrySet().stream()
                .filter(entry -> !shares.containsKey(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private static int grantWanted(List<Share> active, int capacity) {
        int left = capacity;
        int open = active.size();
        for (Share share : active) {
            int granted = Math.max(0, Math.min(share.wanted - share.window, left / open));
            share.window += granted;
            left -= granted;
            open--;
        }
        return left;
    }

    private static void grantRest(List<Share> active, int capacity) {
        int left = capacity;
        int open = active.size();
        for (Share share : active) {
            int granted = Math.max(0, left / open);
            share.window += granted;
            left -= granted;
            open--;
        }
    }

    /** What one entry wants, has and was told. */
    private static final class Share {
        private int demand;
        private Instant demandAt = Instant.MIN;
        private int wanted;
        private int window;
        private int told;

        private void forgetDemand(Instant now) {
            if (demand > 0 && !now.isBefore(demandAt.plus(DEMAND_LIFETIME))) {
                demand = 0;
            }
        }

        private boolean hasGrown(boolean anyGrowth) {
            int least = anyGrowth ? 1 : Math.max(1, told / GROWTH_DIVISOR);
            return demand > 0 && window - told >= least;
        }
    }
}
