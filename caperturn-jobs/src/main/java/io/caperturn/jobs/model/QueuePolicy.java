package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Policy of one queue, as declared by operators.
 *
 * @param name name of the queue
 * @param host host name of its requests, in lower case
 * @param pathPrefix prefix of the paths of its requests
 * @param service kind of upstream that runs its tasks
 * @param urgency urgency of its jobs; 0 is the most urgent
 * @param maximumAttempts number of failed runs of one task after which the job fails
 * @param stretch factor applied to a job's estimated duration to obtain its objective
 * @param targetMilliseconds time added to the stretched duration to obtain the objective, in milliseconds
 */
public record QueuePolicy(
        String name,
        String host,
        String pathPrefix,
        String service,
        int urgency,
        int maximumAttempts,
        double stretch,
        long targetMilliseconds) {
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
}
