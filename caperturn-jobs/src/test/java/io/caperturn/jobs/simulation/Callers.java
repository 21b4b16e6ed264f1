package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;

/** Callers that each submit one job to a simulated fleet, with the time at which each received its answer. */
final class Callers {
    private final SimulatedFleet fleet;
    private final List<Caller> allCallers = new ArrayList<>();
    private final List<Caller> waitingCallers = new ArrayList<>();

    Callers(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Caller of one job, with its answers and the time of the first one. */
    static final class Caller {
        private final long submittedAt;
        private final List<CallerAnswers.Submission> answers;
        /** Virtual time of the first answer, in milliseconds; -1 while there is none. */
        private long answeredAt = -1;

        private Caller(long submittedAt, List<CallerAnswers.Submission> answers) {
            this.submittedAt = submittedAt;
            this.answers = answers;
        }

        /** Returns the virtual time of the first submission, in milliseconds. */
        long submittedAt() {
            return submittedAt;
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
        allCallers.add(caller);
        waitingCallers.add(caller);
        return caller;
    }

    /** Advances the virtual time by one millisecond, and records which callers were answered. */
    void advance() {
        fleet.time().runUntil(fleet.time().now() + 1);
        waitingCallers.removeIf(caller -> {
            if (caller.answers.isEmpty()) {
                return false;
            }
            caller.answeredAt = fleet.time().now();
            return true;
        });
    }

    /** Advances the virtual time by a number of milliseconds, and records when callers were answered. */
    void advance(long milliseconds) {
        for (long elapsed = 0; elapsed < milliseconds; elapsed++) {
            advance();
        }
    }

    List<Caller> allCallers() {
        return allCallers;
    }
}
