package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.JobState;
import java.util.Objects;

/** Answers of an entry, a process that accepts jobs, to callers. */
public final class CallerAnswers {
    private CallerAnswers() {}

    /** Answer to a submitted job. */
    public sealed interface Submission {
        /**
         * The job is stored; it will run, or has run already.
         *
         * @param alreadySubmitted whether the job had been submitted before this request
         * @param state state of the job, as its owner or its stored record tells it
         */
        record Accepted(boolean alreadySubmitted, JobState state) implements Submission {
            /** Checks the state. */
            public Accepted {
                Objects.requireNonNull(state, "state");
            }
        }

        /**
         * The request neither stored nor started the job.
         *
         * @param reason code of the reason, such as {@code load}
         * @param retryAfterMilliseconds time after which the caller may retry, in milliseconds
         * @param overloaded true if the job was refused because of load, false if because of a fault or a stop
         */
        record Refused(String reason, long retryAfterMilliseconds, boolean overloaded) implements Submission {}

        /**
         * The job is stored, but whether an entry will run it is not known; the caller may submit it again.
         *
         * @param reason code of the reason
         */
        record Undecided(String reason) implements Submission {}

        /**
         * A job that is not stored has finished.
         *
         * @param state the final state of the job
         */
        record Finished(JobState state) implements Submission {}

        /**
         * A job that is not stored was abandoned.
         *
         * @param started whether a task of the job may have started
         */
        record Abandoned(boolean started) implements Submission {}
    }

    /** Answer to a query for the state of a job, or to its cancellation. */
    public sealed interface Lookup {
        /**
         * The job is known.
         *
         * @param state the state of the job
         */
        record Found(JobState state) implements Lookup {}

        /** The job does not exist. */
        record Unknown() implements Lookup {}

        /**
         * The state of the job cannot be determined.
         *
         * @param reason code of the reason
         */
        record Unavailable(String reason) implements Lookup {}
    }
}
