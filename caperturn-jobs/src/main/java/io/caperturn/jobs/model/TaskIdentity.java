package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Identity of one task of a job.
 *
 * @param job identity of the job
 * @param repetition number of the repetition of the job, counted from 0; 0 for a job that runs once
 * @param step number of the step, counted from 0
 * @param index number of the task in its step, counted from 0
 */
public record TaskIdentity(String job, int repetition, int step, int index) {
    /**
     * Checks the job.
     *
     * @throws NullPointerException if the job is null
     */
    public TaskIdentity {
        Objects.requireNonNull(job, "job");
    }

    @Override
    public String toString() {
        return job + '/' + repetition + '/' + step + '/' + index;
    }
}
