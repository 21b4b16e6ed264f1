package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;

/**
 * Identity of a process as stored in rows.
 *
 * @param name the process's name
 * @param incarnation the number chosen at the process's start, which distinguishes it from earlier runs
 */
public record StoredProcessId(String name, long incarnation) {
    /** Checks that the name is not blank. */
    public StoredProcessId {
        if (name.isBlank()) {
            throw new IllegalArgumentException("process name must not be blank");
        }
    }

    /**
     * Converts an identity to its stored form.
     *
     * @param process the identity
     * @return the stored form
     */
    public static StoredProcessId of(ProcessId process) {
        return new StoredProcessId(process.name(), process.incarnation());
    }

    /**
     * Converts the stored form to an identity.
     *
     * @return the identity
     */
    public ProcessId toProcessId() {
        return new ProcessId(name, incarnation);
    }
}
