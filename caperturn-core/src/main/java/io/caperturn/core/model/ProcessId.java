package io.caperturn.core.model;

import java.util.Objects;

/**
 * Identity of a running process: its configured name and an incarnation number chosen at its start.
 *
 * <p>A restarted process keeps its name but has another incarnation. It has none of the state of the earlier
 * incarnation.
 *
 * @param name the configured name, not blank
 * @param incarnation the number chosen at process start
 */
public record ProcessId(String name, long incarnation) {
    /** Checks that the name is not blank. */
    public ProcessId {
        Objects.requireNonNull(name, "name");
        if (name.isBlank()) {
            throw new IllegalArgumentException("name must not be blank");
        }
    }

    @Override
    public String toString() {
        return name + "@" + Long.toHexString(incarnation);
    }
}
