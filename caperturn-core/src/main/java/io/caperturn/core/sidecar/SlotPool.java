package io.caperturn.core.sidecar;

import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Slots of the upstream and the queue of attempts for them: urgent attempts first, then the others, both in order of
 * arrival.
 *
 * <p>The number of concurrent runs never exceeds the smaller of the upstream's slots and connections. Confined to the
 * thread of the {@link SidecarMachine}.
 */
final class SlotPool {
    private final int queuedPerSlot;
    private final Map<LedgerLine, ReceivedDispatch> urgent = new LinkedHashMap<>();
    private final Map<LedgerLine, ReceivedDispatch> nonUrgent = new LinkedHashMap<>();
    private int maximumRuns;
    private int running;

    SlotPool(int queuedPerSlot) {
        this.queuedPerSlot = queuedPerSlot;
    }

    /** Sets the maximum number of runs; if it falls below the number of running attempts, these continue. */
    void resize(UpstreamDescription upstream) {
        maximumRuns = Math.min(upstream.slots(), upstream.connections());
    }

    /** Returns the maximum number of attempts that run at once. */
    int maximumRuns() {
        return maximumRuns;
    }

    /** Returns the maximum number of attempts that run or are queued at once. */
    int capacity() {
        return maximumRuns * (1 + queuedPerSlot);
    }

    boolean hasRoom() {
        return running + queued() < capacity();
    }

    int running() {
        return running;
    }

    int queued() {
        return urgent.size() + nonUrgent.size();
    }

    void enqueue(LedgerLine line, ReceivedDispatch dispatch, boolean isUrgent) {
        (isUrgent ? urgent : nonUrgent).put(line, dispatch);
    }

    void remove(LedgerLine line) {
        urgent.remove(line);
        nonUrgent.remove(line);
    }

    /** Removes and returns all queued attempts, in the order in which they would have started. */
    List<LedgerLine> removeAll() {
        List<LedgerLine> all = new ArrayList<>(urgent.keySet());
        all.addAll(nonUrgent.keySet());
        urgent.clear();
        nonUrgent.clear();
        return all;
    }

    /**
     * Removes the next attempt from the queue and occupies a slot for it; returns null if no slot is free or no attempt
     * is queued.
     */
    Map.Entry<LedgerLine, ReceivedDispatch> startNext() {
        if (running >= maximumRuns || queued() == 0) {
            return null;
        }
        running++;
        Map<LedgerLine, ReceivedDispatch> next = urgent.isEmpty() ? nonUrgent : urgent;
        Map.Entry<LedgerLine, ReceivedDispatch> first =
                Map.Entry.copyOf(next.entrySet().iterator().next());
        next.remove(first.getKey());
        return first;
    }

    void release() {
        running--;
    }
}
