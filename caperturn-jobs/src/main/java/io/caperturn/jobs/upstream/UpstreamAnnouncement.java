package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.UpstreamIncarnation;
import java.util.Objects;

/**
 * Announcement by which an upstream describes itself to its sidecar, the process that starts runs on it.
 *
 * @param description properties that do not change during the upstream's incarnation, the time from a start to the next
 *     stop
 * @param sequence number of the announcement, increasing within an incarnation
 * @param leaving whether the upstream accepts no new tasks and is about to stop
 * @param coldMilliseconds how much longer the upstream expects to be slow after its start, in milliseconds
 */
public record UpstreamAnnouncement(
        UpstreamIncarnation description, long sequence, boolean leaving, long coldMilliseconds) {
    /**
     * Checks the description.
     *
     * @throws NullPointerException if the description is null
     */
    public UpstreamAnnouncement {
        Objects.requireNonNull(description, "description");
    }

    /**
     * Returns the name of the upstream.
     *
     * @return the name
     */
    public String identity() {
        return description.identity();
    }

    /**
     * Returns when this incarnation of the upstream started.
     *
     * @return milliseconds since 1970; 0 if unknown
     */
    public long startEpochMilliseconds() {
        return description.startEpochMilliseconds();
    }

    /**
     * Returns whether another announcement was sent after this one, or is the same.
     *
     * @param known the other announcement
     * @return false if this announcement has to be applied
     */
    boolean isOutdated(UpstreamAnnouncement known) {
        boolean sameIncarnation = startEpochMilliseconds() == known.startEpochMilliseconds()
                && identity().equals(known.identity());
        return sameIncarnation
                ? sequence <= known.sequence()
                : startEpochMilliseconds() < known.startEpochMilliseconds();
    }
}
