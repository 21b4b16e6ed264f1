package io.caperturn.jobs.message;

/** Role of a process. */
public enum ProcessRole {
    /** Accepts jobs from callers and owns them. */
    ENTRY,
    /** Runs tasks on its upstream. */
    SIDECAR
}
