package io.caperturn.jobs.model;

import java.util.List;
import java.util.Objects;

/**
 * What is known of one life of an upstream and doesn't change during it.
 *
 * @param identity name of the upstream
 * @param born when this life of it began, in milliseconds since 1970; 0 if it doesn't say
 * @param service kind of upstream
 * @param capacity room when nothing runs
 * @param labels its kind and its rack
 */
public record UpstreamIncarnation(String identity, long born, String service, Resources capacity, List<String> labels) {
    /** Checks the texts and copies the list. */
    public UpstreamIncarnation {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }
}
