package io.caperturn.core.sidecar;

import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Slots of the upstream and the attempts that wait for one, urgent ones first and then in order of arrival.
 *
 * <p>Slots and connections are hard bounds: no more run at once than the lesser of them. Confined to the thread of the
 * {@link SidecarMachine}.
 */
final class SlotPool {
    private final int queuedPerSlot;
    private final Map<LedgerLine, ReceivedDispatch> urgent = new LinkedHashMap<>();
    private final Map<LedgerLine, ReceivedDispatch> waiting = new LinkedHashMap<>();
    private int limit;
    private int running;

    SlotPool(int queuedPerSlot) {
        this.queuedPerSlot = queuedPerSlot;
    }

    void resize(UpstreamDescription upstream) {
        limit = Math.min(upstream.slots(), upstream.connections());
    }

    /** Returns how many attempts may run at once. */
    int limit() {
        return limit;
    }

    /** Returns how many attempts may run or wait at once. */
    int capacity() {
        return limit * (1 + queuedPerSlot);
    }

    boolean hasRoom() {
        return running + queued() < capacity();
    }

    int running() {
        return running;
    }

    int queued() {
        return urgent.size() + waiting.size();
    }

    void enqueue(LedgerLine line, ReceivedDispatch dispatch, boolean isUrgent) {
        (isUrgent ? urgent : waiting).put(line, dispatch);
    }

    void remove(LedgerLine line) {
        urgent.remove(line);
        waiting.remove(line);
    }

    /** Removes and returns all that wait, urgent ones first and then in order of arrival. */
    List<LedgerLine> removeAll() {
        List<LedgerLine> all = new ArrayList<>(urgent.keySet());
        all.addAll(waiting.keySet());
        urgent.clear();
        waiting.clear();
        return all;
    }

    /**
     * Takes a slot for the attempt that waits longest, urgent ones first, or returns null if there is no slot or no
     * such attempt.
     */
    Map.Entry<LedgerLine, ReceivedDispatch> startNext() {
        if (running >= limit || queued() == 0) {
            return null;
        }
        running++;
        Map<LedgerLine, ReceivedDispatch> next = urgent.isEmpty() ? waiting : urgent;
        Map.Entry<LedgerLine, ReceivedDispatch> first =
                Map.Entry.copyOf(next.entrySet().iterator().next());
        next.remove(first.getKey());
        return first;
    }

    void ended() {
        running--;
    }
}
