package io.caperturn.core.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * One task of a submission, as declared by the client.
 *
 * @param id the client's name for the task, unique within its submission
 * @param estimate the declared run time at an upstream of speed 1, the reference speed; measured run times take
 *     precedence over it
 * @param payload the request body for the upstream, JSON text
 */
public record TaskSpec(String id, Optional<Duration> estimate, String payload) {
    /** Checks that no component is null and that the name is not blank. */
    public TaskSpec {
        Objects.requireNonNull(estimate, "estimate");
        Objects.requireNonNull(payload, "payload");
        if (id.isBlank()) {
            throw new IllegalArgumentException("task id must not be blank");
        }
    }
}
