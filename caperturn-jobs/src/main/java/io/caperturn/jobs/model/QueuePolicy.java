package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * What operators declare of one queue.
 *
 * @param name name of the queue
 * @param host host name that requests for it carry, in lower case
 * @param pathPrefix what their paths begin with
 * @param service kind of upstream that runs its tasks
 * @param urgency 0 for the most urgent work, rising
 * @param maximumAttempts how many failed runs of a task make its job fail
 * @param stretch factor on a job's own duration that still counts as in time
 * @param targetMilliseconds what is added to the stretched duration, in milliseconds
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
     * Checks the texts.
     *
     * @throws NullPointerException if a text is missing
     */
    public QueuePolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
    }
}
