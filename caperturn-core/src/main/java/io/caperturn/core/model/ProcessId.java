package io.caperturn.core.model;

import java.util.Objects;

/**
 * Identity of a running process: its configured name and the incarnation that it drew at its start.
 *
 * <p>A restarted process keeps its name and has another incarnation; nothing that the earlier incarnation held can be
 * assumed of the later one.
 *
 * @param name the configured name, not blank
 * @param incarnation the number drawn at process start
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
