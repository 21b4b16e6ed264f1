package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.JobState;

/** Answers to callers. */
public final class CallerAnswers {
    private CallerAnswers() {}

    /** Answer to a new job. */
    public sealed interface Submission {
        /**
         * The job is stored and will be run.
         *
         * @param joined whether it had been handed in before
         */
        record Accepted(boolean joined) implements Submission {}

        /**
         * The job is not stored by this request and won't run because of it.
         *
         * @param reason why
         * @param retryAfterMilliseconds when to come back, in milliseconds
         * @param overloaded whether the reason is load, not a fault
         */
        record Refused(String reason, long retryAfterMilliseconds, boolean overloaded) implements Submission {}

        /**
         * A job that is not stored is over.
         *
         * @param state how it ended
         */
        record Finished(JobState state) implements Submission {}

        /**
         * A job that is not stored was given up.
         *
         * @param started whether a task of it had started
         */
        record Abandoned(boolean started) implements Submission {}
    }

    /** Answer to a question for a job's state. */
    public sealed interface Lookup {
        /**
         * The job is known.
         *
         * @param state its state
         */
        record Found(JobState state) implements Lookup {}

        /** There is no such job. */
        record Unknown() implements Lookup {}

        /**
         * It can't be told.
         *
         * @param reason why
         */
        record Unavailable(String reason) implements Lookup {}
    }
}
