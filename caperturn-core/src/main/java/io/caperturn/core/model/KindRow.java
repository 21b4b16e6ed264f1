package io.caperturn.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Row of the operators' table for one kind of work.
 *
 * @param kind the kind's name
 * @param weight the weight by which kinds of the same urgency share the time of upstream slots, at least 1
 * @param urgency its urgency class
 * @param limits its limits, which apply to the whole system
 * @param taskTimeout the maximum run time of one task at an upstream
 * @param rowVersion the version of this row, increased by each edit
 */
public record KindRow(String kind, int weight, Urgency urgency, Limits limits, Duration taskTimeout, long rowVersion) {
    /** Checks that no component is null and that the numbers are within their ranges. */
    public KindRow {
        Objects.requireNonNull(urgency, "urgency");
        Objects.requireNonNull(limits, "limits");
        if (kind.isBlank() || weight < 1 || taskTimeout.isNegative() || taskTimeout.isZero()) {
            throw new IllegalArgumentException("kind must be named, weight and task timeout positive");
        }
    }
}
