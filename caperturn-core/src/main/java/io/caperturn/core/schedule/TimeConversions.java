package io.caperturn.core.schedule;

import java.time.Duration;
import java.time.Instant;

/** Conversions between {@code java.time} types and the plain numbers that schedulers compute with. */
final class TimeConversions {
    private static final double NANOSECONDS_IN_SECOND = 1e9;

    private TimeConversions() {}

    /** Returns an instant in nanoseconds since the epoch. */
    static long toNanoseconds(Instant instant) {
        return Math.addExact(Math.multiplyExact(instant.getEpochSecond(), 1_000_000_000L), instant.getNano());
    }

    /** Returns a duration in seconds. */
    static double toSeconds(Duration duration) {
        return duration.toNanos() / NANOSECONDS_IN_SECOND;
    }

    /** Returns a number of nanoseconds in seconds. */
    static double toSeconds(long nanoseconds) {
        return nanoseconds / NANOSECONDS_IN_SECOND;
    }

    /** Returns a number of seconds in nanoseconds. */
    static long toNanoseconds(double seconds) {
        return (long) (seconds * NANOSECONDS_IN_SECOND);
    }
}
