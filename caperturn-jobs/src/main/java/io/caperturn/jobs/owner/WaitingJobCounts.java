package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import java.util.HashMap;
import java.util.Map;

/**
 * Number of waiting jobs of each queue: jobs of which no task has started, at this entry (process that accepts jobs)
 * and at the other entries, which report their counts with each heartbeat.
 */
final class WaitingJobCounts {
    /** Maximum age of the counts of another entry to be included, in milliseconds: five heartbeats. */
    private static final long PEER_AGE_MILLISECONDS = 2_000;

    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final Map<String, PeerCounts> countsByPeer = new HashMap<>();

    WaitingJobCounts(DecisionLoop loop, OwnedJobRepository jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Counts by queue of another entry, and when they arrived, in milliseconds of the monotonic clock. */
    private record PeerCounts(Map<String, Integer> counts, long receivedAt) {}

    /** Replaces the counts by queue of another entry, an incarnation (start) of which reported them. */
    void updatePeer(String incarnation, Map<String, Integer> counts) {
        countsByPeer.put(incarnation, new PeerCounts(counts, loop.monotonicMilliseconds()));
    }

    /** Returns the number of waiting jobs that this entry owns, by queue. */
    Map<String, Integer> countOwn() {
        Map<String, Integer> counts = new HashMap<>();
        for (OwnedJob job : jobs.ownedJobs()) {
            if (!job.isStarted()) {
                counts.merge(job.policy().name(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the number of waiting jobs of a queue over all entries. */
    int count(String queue) {
        countsByPeer
                .values()
                .removeIf(peer -> peer.receivedAt() <= loop.monotonicMilliseconds() - PEER_AGE_MILLISECONDS);
        return countOwn().getOrDefault(queue, 0)
                + countsByPeer.values().stream()
                        .mapToInt(peer -> peer.counts().getOrDefault(queue, 0))
                        .sum();
    }
}
