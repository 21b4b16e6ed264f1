package io.caperturn.jobs.model;

import java.util.List;
import java.util.Optional;

/**
 * Routes from requests to queues, as declared by one version of the configuration.
 *
 * @param version number of the version; a process ignores versions lower than the one it applies
 * @param queues the queues
 * @param maximumBodyBytes maximum size of an accepted request body, in bytes
 */
public record RoutingTable(long version, List<QueuePolicy> queues, long maximumBodyBytes) {
    /** Copies the list. */
    public RoutingTable {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue for a request: among the queues with its host, the one with the longest matching path prefix.
     *
     * @param host host name of the request, without a port
     * @param path path of the request
     * @return the queue, or empty if none matches
     */
    public Optional<QueuePolicy> find(String host, String path) {
        QueuePolicy longestMatch = null;
        for (QueuePolicy queue : queues) {
            if (queue.host().equalsIgnoreCase(host)
                    && path.startsWith(queue.pathPrefix())
                    && (longestMatch == null
                            || queue.pathPrefix().length()
                                    > longestMatch.pathPrefix().length())) {
                longestMatch = queue;
            }
        }
        return Optional.ofNullable(longestMatch);
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name
     * @return the queue, or empty if this version has none of that name
     */
    public Optional<QueuePolicy> findByName(String name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }
}
