package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.Resources;
import java.util.List;
import java.util.Objects;

/**
 * What an upstream says of itself.
 *
 * @param identity name of this upstream
 * @param born when this life of it began, in milliseconds since 1970; 0 if it doesn't say
 * @param sequence number of the announcement, rising within a life
 * @param service kind of upstream
 * @param capacity room when nothing runs
 * @param labels its kind and its rack
 * @param leaving whether it takes nothing new and will go
 */
public record Announcement(
        String identity,
        long born,
        long sequence,
        String service,
        Resources capacity,
        List<String> labels,
        boolean leaving) {
    /** Checks the texts and copies the list. */
    public Announcement {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        labels = List.copyOf(labels);
    }
}
