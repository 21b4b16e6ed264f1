package io.caperturn.jobs.message;

/** Role of a process in the fleet. */
public enum ProcessRole {
    /** Accepts jobs from callers and owns them. */
    ENTRY,
    /** Starts runs of tasks on the upstream beside it. */
    SIDECAR
}
