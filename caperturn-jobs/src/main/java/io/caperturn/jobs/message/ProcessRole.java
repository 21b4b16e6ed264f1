package io.caperturn.jobs.message;

/** What a process does. */
public enum ProcessRole {
    /** It takes jobs from callers and owns them. */
    ENTRY,
    /** It runs tasks on its upstream. */
    SIDECAR
}
