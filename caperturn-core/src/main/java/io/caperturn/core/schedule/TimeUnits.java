package io.caperturn.core.schedule;

import java.time.Duration;
import java.time.Instant;

/** Conversions between the time types of the interface and the numbers used inside. */
final class TimeUnits {
    private static final double NANOSECONDS_IN_SECOND = 1e9;

    private TimeUnits() {}

    /** Returns the nanoseconds since the epoch. */
    static long nanoseconds(Instant instant) {
        return Math.addExact(Math.multiplyExact(instant.getEpochSecond(), 1_000_000_000L), instant.getNano());
    }

    /** Returns a duration in seconds. */
    static double seconds(Duration duration) {
        return duration.toNanos() / NANOSECONDS_IN_SECOND;
    }

    /** Returns a number of nanoseconds in seconds. */
    static double seconds(long nanoseconds) {
        return nanoseconds / NANOSECONDS_IN_SECOND;
    }

    /** Returns a number of seconds in nanoseconds. */
    static long nanoseconds(double seconds) {
        return (long) (seconds * NANOSECONDS_IN_SECOND);
    }
}
