package io.caperturn.core.sidecar;

import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Slots of the upstream and the queue of the attempts that wait for one: urgent attempts first, then the others, both
 * in order of arrival.
 *
 * <p>A slot is room for one concurrent run at the upstream. The number of concurrent runs is limited to the smaller of
 * the upstream's slots and the connections that it accepts. Confined to the thread of the {@link SidecarMachine}.
 */
final class SlotPool {
    private final int maximumQueuedPerSlot;
    private final Map<LedgerLine, ReceivedDispatch> urgentQueue = new LinkedHashMap<>();
    private final Map<LedgerLine, ReceivedDispatch> nonUrgentQueue = new LinkedHashMap<>();
    private int maximumRuns;
    private int runningCount;

    SlotPool(int maximumQueuedPerSlot) {
        this.maximumQueuedPerSlot = maximumQueuedPerSlot;
    }

    /** Sets the maximum number of concurrent runs; runs that exceed a lower maximum continue. */
    void resize(UpstreamDescription upstream) {
        maximumRuns = Math.min(upstream.slots(), upstream.connections());
    }

    /** Returns the maximum number of concurrent runs. */
    int maximumRuns() {
        return maximumRuns;
    }

    /** Returns the maximum number of attempts that run or are queued. */
    int capacity() {
        return maximumRuns * (1 + maximumQueuedPerSlot);
    }

    boolean hasRoom() {
        return runningCount + queuedCount() < capacity();
    }

    int runningCount() {
        return runningCount;
    }

    int queuedCount() {
        return urgentQueue.size() + nonUrgentQueue.size();
    }

    void enqueue(LedgerLine line, ReceivedDispatch dispatch, boolean isUrgent) {
        (isUrgent ? urgentQueue : nonUrgentQueue).put(line, dispatch);
    }

    void removeQueued(LedgerLine line) {
        urgentQueue.remove(line);
        nonUrgentQueue.remove(line);
    }

    /** Removes and returns all queued attempts, in the order in which they would have started. */
    List<LedgerLine> removeAllQueued() {
        List<LedgerLine> all = new ArrayList<>(urgentQueue.keySet());
        all.addAll(nonUrgentQueue.keySet());
        urgentQueue.clear();
        nonUrgentQueue.clear();
        return all;
    }

    /**
     * Removes the next attempt to start from the queue and occupies a slot for it.
     *
     * @return the ledger line and the dispatch of the attempt; null if no slot is free or no attempt is queued
     */
    Map.Entry<LedgerLine, ReceivedDispatch> takeNextForStart() {
        if (runningCount >= maximumRuns || queuedCount() == 0) {
            return null;
        }
        runningCount++;
        Map<LedgerLine, ReceivedDispatch> nextQueue = urgentQueue.isEmpty() ? nonUrgentQueue : urgentQueue;
        Map.Entry<LedgerLine, ReceivedDispatch> first =
                Map.Entry.copyOf(nextQueue.entrySet().iterator().next());
        nextQueue.remove(first.getKey());
        return first;
    }

    void releaseSlot() {
        runningCount--;
    }
}
