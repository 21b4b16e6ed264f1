package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.UpstreamIncarnation;
import java.util.Objects;

/**
 * What an upstream says of itself.
 *
 * @param description what doesn't change during its life
 * @param sequence number of the announcement, rising within a life
 * @param leaving whether it takes nothing new and will go
 */
public record UpstreamAnnouncement(UpstreamIncarnation description, long sequence, boolean leaving) {
    /** Checks that there is a description. */
    public UpstreamAnnouncement {
        Objects.requireNonNull(description, "description");
    }

    /**
     * Gives the name of the upstream.
     *
     * @return the name
     */
    public String identity() {
        return description.identity();
    }

    /**
     * Tells when this life of the upstream began.
     *
     * @return milliseconds since 1970; 0 if it doesn't say
     */
    public long born() {
        return description.born();
    }
}
