package io.caperturn.jobs.simulation;

import io.caperturn.jobs.message.JobFrame;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Record of the links that were opened between simulated processes, and of the frames sent over them. */
final class FrameTraffic {
    /** Number of frames sent, by the type of the frame. */
    private final Map<String, Integer> frameCounts = new TreeMap<>();
    /** Number of links that were opened, by the incarnations at their ends. */
    private final Map<Set<String>, Integer> linkCounts = new HashMap<>();
    /** Numbers of the links that a process knows to be open, by its incarnation and then that of its peer. */
    private final Map<String, Map<String, Integer>> knownLinks = new HashMap<>();

    /** Pairs of instances whose processes lose the frames between them. */
    private final Set<Set<String>> silentPairs = new HashSet<>();
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

    /** Loses all further frames between the processes of two instances; their links stay open. */
    void loseFramesBetween(String first, String second) {
        silentPairs.add(Set.of(first, second));
    }

    /** Counts a frame from an incarnation of a process to another one; returns false if it is lost. */
    boolean recordFrame(String from, String to, JobFrame frame) {
        frameCounts.merge(frame.getClass().getSimpleName(), 1, Integer::sum);
        return frame.getClass() != lostFrames
                && silentPairs.stream().noneMatch(pair -> pair.contains(nodeOf(from)) && pair.contains(nodeOf(to)));
    }

    private static String nodeOf(String incarnation) {
        return incarnation.substring(0, incarnation.indexOf('~'));
    }

    void recordLink(String first, String second) {
        linkCounts.merge(Set.of(first, second), 1, Integer::sum);
    }

    /** Returns the number of the latest link between two incarnations. */
    int linkNumber(String first, String second) {
        return linkCounts.getOrDefault(Set.of(first, second), 0);
    }

    /** Records that a process has handled the opening of a link, by its number. */
    void recordKnownLink(String process, String peer, int number) {
        knownLinks.computeIfAbsent(process, key -> new HashMap<>()).put(peer, number);
    }

    /** Returns the number of the latest link that a process knows to be open; 0 if it knows none. */
    int knownLinkNumber(String process, String peer) {
        return knownLinks.getOrDefault(process, Map.of()).getOrDefault(peer, 0);
    }
}
