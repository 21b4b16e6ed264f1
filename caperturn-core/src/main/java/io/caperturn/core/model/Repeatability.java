package io.caperturn.core.model;

/** Specifies whether a task of a submission may be started more than once. */
public enum Repeatability {
    /** Each task starts at most once; applies to the tasks of jobs and to non-idempotent requests. */
    AT_MOST_ONCE,
    /** The task may be started again within the deadline and the retry budget; applies to idempotent requests. */
    IDEMPOTENT
}
