package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import java.util.HashMap;
import java.util.Map;

/** Number of jobs of each queue of which no task has started, here and at other entries. */
final class WaitingCounts {
    /** Age up to which another entry's numbers are added to ours, in milliseconds: five of its signs of life. */
    private static final long PEER_AGE_MILLISECONDS = 2_000;

    private final DecisionLoop loop;
    private final JobKeeper jobs;
    private final Map<String, Told> peers = new HashMap<>();

    WaitingCounts(DecisionLoop loop, JobKeeper jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    private record Told(Map<String, Integer> counts, long at) {}

    void told(String incarnation, Map<String, Integer> counts) {
        peers.put(incarnation, new Told(counts, loop.monotonicMilliseconds()));
    }

    Map<String, Integer> own() {
        Map<String, Integer> counts = new HashMap<>();
        for (OwnedJob job : jobs.owned()) {
            if (!job.isStarted()) {
                counts.merge(job.policy().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    int of(String queue) {
        peers.values().removeIf(told -> told.at() <= loop.monotonicMilliseconds() - PEER_AGE_MILLISECONDS);
        return own().getOrDefault(queue, 0)
                + peers.values().stream()
                        .mapToInt(told -> told.counts().getOrDefault(queue, 0))
                        .sum();
    }
}
