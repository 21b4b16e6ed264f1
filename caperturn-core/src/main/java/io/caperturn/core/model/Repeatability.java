package io.caperturn.core.model;

/** Specifies whether a task of a submission may be started more than once. */
public enum Repeatability {
    /** Each task starts at most once: the tasks of jobs, and non-idempotent requests. */
    AT_MOST_ONCE,
    /** The request may be retried within its deadline and the retry budget. */
    IDEMPOTENT
}
