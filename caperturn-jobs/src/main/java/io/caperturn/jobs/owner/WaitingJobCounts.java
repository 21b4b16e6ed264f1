package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import java.util.HashMap;
import java.util.Map;

/** Number of jobs of each queue of which no task has started, at this entry and at other entries. */
final class WaitingJobCounts {
    /** Age up to which the counts of another entry are included, in milliseconds: five heartbeats. */
    private static final long PEER_AGE_MILLISECONDS = 2_000;

    private final DecisionLoop loop;
    private final OwnedJobRegistry jobs;
    private final Map<String, PeerCounts> peers = new HashMap<>();

    WaitingJobCounts(DecisionLoop loop, OwnedJobRegistry jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    private record PeerCounts(Map<String, Integer> counts, long receivedAt) {}

    void updatePeer(String incarnation, Map<String, Integer> counts) {
        peers.put(incarnation, new PeerCounts(counts, loop.monotonicMilliseconds()));
    }

    Map<String, Integer> countOwn() {
        Map<String, Integer> counts = new HashMap<>();
        for (OwnedJob job : jobs.owned()) {
            if (!job.isStarted()) {
                counts.merge(job.policy().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    int count(String queue) {
        peers.values().removeIf(peer -> peer.receivedAt() <= loop.monotonicMilliseconds() - PEER_AGE_MILLISECONDS);
        return countOwn().getOrDefault(queue, 0)
                + peers.values().stream()
                        .mapToInt(peer -> peer.counts().getOrDefault(queue, 0))
                        .sum();
    }
}
