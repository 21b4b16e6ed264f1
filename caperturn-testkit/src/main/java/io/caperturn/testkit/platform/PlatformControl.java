package io.caperturn.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * How the stand-in platform behaves at present.
 *
 * @param mode how it treats requests
 * @param delayMilliseconds delay of each request in {@link PlatformMode#SLOW}
 * @param writesPerSecond how many transactions with writes it takes a second; beyond them it answers 429
 * @param syncMilliseconds how long a transaction with writes takes to become durable
 */
public record PlatformControl(PlatformMode mode, long delayMilliseconds, int writesPerSecond, long syncMilliseconds) {
    /** A healthy platform. */
    public static final PlatformControl DEFAULT = new PlatformControl(PlatformMode.NORMAL, 0, 500, 4);

    /** Checks the ranges. */
    public PlatformControl {
        Objects.requireNonNull(mode, "mode");
        if (delayMilliseconds < 0 || writesPerSecond < 1 || syncMilliseconds < 0) {
            throw new IllegalArgumentException("delay and sync must not be negative, writes per second positive");
        }
    }

    /**
     * Returns this with the members of a JSON object in place of its own.
     *
     * @param changes the members to change
     * @return the changed control
     * @throws IllegalArgumentException if a value is out of range
     */
    public PlatformControl with(JsonNode changes) {
        return new PlatformControl(
                changes.has("mode") ? PlatformMode.parse(changes.get("mode").asText()) : mode,
                changes.path("delayMilliseconds").asLong(delayMilliseconds),
                changes.path("writesPerSecond").asInt(writesPerSecond),
                changes.path("syncMilliseconds").asLong(syncMilliseconds));
    }
}
