package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Policy of one queue, as declared by operators. A queue accepts jobs through requests with its host name and path
 * prefix.
 *
 * <p>The objective of a job is the time within which it should complete: its estimated duration times a factor, plus a
 * constant offset.
 *
 * @param name name of the queue
 * @param host host name of its requests, in lower case
 * @param pathPrefix prefix of the paths of its requests
 * @param service kind of upstream that runs its tasks
 * @param urgency urgency of its jobs; 0 is the most urgent
 * @param maximumAttempts a job fails after this number of failed runs of one of its tasks
 * @param objectiveFactor factor of the estimated duration in the objective
 * @param objectiveOffsetMilliseconds constant offset of the objective, in milliseconds
 */
public record QueuePolicy(
        String name,
        String host,
        String pathPrefix,
        String service,
        int urgency,
        int maximumAttempts,
        double objectiveFactor,
        long objectiveOffsetMilliseconds) {
    /** Limit of the parts of an objective, in milliseconds: a multiple of their sum stays within 64 bits. */
    private static final long MAXIMUM_OBJECTIVE_MILLISECONDS = 1L << 50;

    /**
     * Checks that all texts are present.
     *
     * @throws NullPointerException if a text is null
     */
    public QueuePolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
    }

    /**
     * Returns the time within which a job should complete.
     *
     * @param criticalPathMilliseconds estimated duration of the job without waits, in milliseconds
     * @return the time, in milliseconds
     */
    public long objectiveMilliseconds(long criticalPathMilliseconds) {
        return limit((long) (objectiveFactor * criticalPathMilliseconds)) + limit(objectiveOffsetMilliseconds);
    }

    private static long limit(long milliseconds) {
        return Math.clamp(milliseconds, -MAXIMUM_OBJECTIVE_MILLISECONDS, MAXIMUM_OBJECTIVE_MILLISECONDS);
    }
}
