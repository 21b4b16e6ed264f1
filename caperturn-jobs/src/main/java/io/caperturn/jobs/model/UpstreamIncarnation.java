package io.caperturn.jobs.model;

import java.util.List;
import java.util.Objects;

/**
 * Properties of an upstream that stay the same during one incarnation, the time from a start to the next stop.
 *
 * @param identity name of the upstream
 * @param startEpochMilliseconds when this incarnation started, in milliseconds since 1970; 0 if unknown
 * @param service kind of upstream
 * @param capacity resources available when nothing runs
 * @param labels labels of the upstream, including its rack
 */
public record UpstreamIncarnation(
        String identity, long startEpochMilliseconds, String service, Resources capacity, List<String> labels) {
    private static final Resources MAXIMUM_CAPACITY =
            new Resources(StepPlan.MAXIMUM_RESOURCE, StepPlan.MAXIMUM_RESOURCE, StepPlan.MAXIMUM_RESOURCE);

    /**
     * Checks that the identity, service and capacity are present, and copies the list.
     *
     * @throws IllegalArgumentException if a component of the capacity is negative or too large
     */
    public UpstreamIncarnation {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(capacity, "capacity");
        if (!capacity.covers(Resources.NONE) || !MAXIMUM_CAPACITY.covers(capacity)) {
            throw new IllegalArgumentException("the capacity is out of range: " + capacity);
        }
        labels = List.copyOf(labels);
    }
}
