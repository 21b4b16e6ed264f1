package io.caperturn.core.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Row of the table for one kind of work.
 *
 * @param kind the kind's name
 * @param weight its share of slot time against kinds of the same urgency, at least 1
 * @param urgency its class of urgency
 * @param limits its limits over the whole system
 * @param taskTimeout longest time that one task may run at an upstream
 * @param rowVersion the version of this row, raised by each edit
 */
public record KindRow(String kind, int weight, Urgency urgency, Limits limits, Duration taskTimeout, long rowVersion) {
    /** Checks the ranges. */
    public KindRow {
        Objects.requireNonNull(urgency, "urgency");
        Objects.requireNonNull(limits, "limits");
        if (kind.isBlank() || weight < 1 || taskTimeout.isNegative() || taskTimeout.isZero()) {
            throw new IllegalArgumentException("kind must be named, weight and task timeout positive");
        }
    }
}
