package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;

/** Callers of a simulated fleet, with the time at which each received its answer. */
final class Callers {
    private final SimulatedFleet fleet;
    private final List<Caller> all = new ArrayList<>();

    Callers(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** A submitted job, with its answers and the time of the first one. */
    static final class Caller {
        private final long submittedAt;
        private final List<CallerAnswers.Submission> answers;
        private long answeredAt = -1;

        private Caller(long submittedAt, List<CallerAnswers.Submission> answers) {
            this.submittedAt = submittedAt;
            this.answers = answers;
        }

        List<CallerAnswers.Submission> answers() {
            return answers;
        }

        /** Returns the time from submission to the first answer, in milliseconds; negative while there is none. */
        long answerMilliseconds() {
            return answeredAt - submittedAt;
        }
    }

    /** Submits a job. */
    Caller submit(int entry, String job, JobPlan plan, QueuePolicy policy) {
        Caller caller = new Caller(fleet.time().now(), fleet.submit(entry, job, plan, policy));
        all.add(caller);
        return caller;
    }

    /** Advances the virtual time by one millisecond. */
    void advance() {
        fleet.time().runUntil(fleet.time().now() + 1);
        for (Caller caller : all) {
            if (caller.answeredAt < 0 && !caller.answers.isEmpty()) {
                caller.answeredAt = fleet.time().now();
            }
        }
    }

    /** Advances the virtual time. */
    void advance(long milliseconds) {
        for (long elapsed = 0; elapsed < milliseconds; elapsed++) {
            advance();
        }
    }

    List<Caller> all() {
        return all;
    }
}
