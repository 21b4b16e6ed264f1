package io.caperturn.jobs.model;

import java.util.List;
import java.util.Optional;

/**
 * All queues of one version of the configuration.
 *
 * @param version number of the version; a process never goes back to a lower one
 * @param queues the queues
 * @param maximumBodyBytes size of the largest request body that is taken, in bytes
 */
public record RoutingTable(long version, List<QueuePolicy> queues, long maximumBodyBytes) {
    /** Copies the list. */
    public RoutingTable {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue for a request: of those with its host the one with the longest prefix of its path.
     *
     * @param host host name of the request, without a port
     * @param path path of the request
     * @return the queue, or nothing if there is none
     */
    public Optional<QueuePolicy> find(String host, String path) {
        QueuePolicy best = null;
        for (QueuePolicy queue : queues) {
            if (queue.host().equalsIgnoreCase(host)
                    && path.startsWith(queue.pathPrefix())
                    && (best == null
                            || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name
     * @return the queue, or nothing if this version has none of that name
     */
    public Optional<QueuePolicy> findByName(String name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }
}
