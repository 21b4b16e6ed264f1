package io.caperturn.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Behaviour of the stand-in platform: its fault mode and its limits.
 *
 * @param mode the treatment of requests
 * @param delayMilliseconds the delay of each request in {@link PlatformMode#SLOW}, in milliseconds
 * @param writesPerSecond the maximum number of transactions with writes per second; further ones are answered with
 *     status 429
 * @param syncMilliseconds the time until a transaction with writes is durable, in milliseconds
 */
public record PlatformBehaviour(PlatformMode mode, long delayMilliseconds, int writesPerSecond, long syncMilliseconds) {
    /** Behaviour without faults: 500 transactions with writes per second, durable after 4 ms. */
    public static final PlatformBehaviour DEFAULT = new PlatformBehaviour(PlatformMode.NORMAL, 0, 500, 4);

    /** Checks the ranges. */
    public PlatformBehaviour {
        Objects.requireNonNull(mode, "mode");
        if (delayMilliseconds < 0 || writesPerSecond < 1 || syncMilliseconds < 0) {
            throw new IllegalArgumentException(
                    "delayMilliseconds and syncMilliseconds must not be negative, writesPerSecond must be positive");
        }
    }

    /**
     * Returns a copy in which the members of a JSON object replace the values of the same name.
     *
     * @param changes the members to change
     * @return the changed behaviour
     * @throws IllegalArgumentException if a value is out of range
     */
    public PlatformBehaviour withChanges(JsonNode changes) {
        return new PlatformBehaviour(
                changes.has("mode") ? PlatformMode.parse(changes.get("mode").asText()) : mode,
                changes.path("delayMilliseconds").asLong(delayMilliseconds),
                changes.path("writesPerSecond").asInt(writesPerSecond),
                changes.path("syncMilliseconds").asLong(syncMilliseconds));
    }
}
