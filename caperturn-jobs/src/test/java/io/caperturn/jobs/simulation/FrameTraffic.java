package io.caperturn.jobs.simulation;

import io.caperturn.jobs.message.JobFrame;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Record of the links that were opened between simulated processes, and of the frames sent over them. */
final class FrameTraffic {
    /** Number of frames sent, by the type of the frame. */
    private final Map<String, Integer> frameCounts = new TreeMap<>();
    /** Number of links that were opened, by the incarnations at their ends. */
    private final Map<Set<String>, Integer> linkCounts = new HashMap<>();
    /** Type of the frames that are lost; null if none are. */
    private Class<? extends JobFrame> lostFrames;

    /** Returns the number of frames sent so far, by the type of the frame. */
    Map<String, Integer> frameCounts() {
        return new TreeMap<>(frameCounts);
    }

    /** Loses all further frames of a type. */
    void loseFrames(Class<? extends JobFrame> type) {
        lostFrames = type;
    }

    /** Counts a frame; returns false if it is lost. */
    boolean recordFrame(JobFrame frame) {
        frameCounts.merge(frame.getClass().getSimpleName(), 1, Integer::sum);
        return frame.getClass() != lostFrames;
    }

    void recordLink(String first, String second) {
        linkCounts.merge(Set.of(first, second), 1, Integer::sum);
    }

    /** Returns the number of the latest link between two incarnations. */
    int linkNumber(String first, String second) {
        return linkCounts.getOrDefault(Set.of(first, second), 0);
    }
}
