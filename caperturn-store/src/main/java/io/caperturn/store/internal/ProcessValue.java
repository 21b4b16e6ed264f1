package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;

/**
 * Identity of a process as rows carry it.
 *
 * @param name its name
 * @param incarnation its incarnation
 */
public record ProcessValue(String name, long incarnation) {
    /** Checks that the process is named. */
    public ProcessValue {
        if (name.isBlank()) {
            throw new IllegalArgumentException("process must be named");
        }
    }

    /**
     * Creates the value of an identity.
     *
     * @param process the identity
     * @return the value
     */
    public static ProcessValue of(ProcessId process) {
        return new ProcessValue(process.name(), process.incarnation());
    }

    /**
     * Returns the identity.
     *
     * @return the identity
     */
    public ProcessId toProcess() {
        return new ProcessId(name, incarnation);
    }
}
