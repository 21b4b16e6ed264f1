package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;

/** Callers of a simulated fleet, and when each got its answer. */
final class Callers {
    private final SimulatedFleet fleet;
    private final List<Caller> all = new ArrayList<>();

    Callers(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** One job that was handed in, with its answers and the time of the first. */
    static final class Caller {
        private final long sent;
        private final List<CallerAnswers.Submission> answers;
        private long answeredAt = -1;

        private Caller(long sent, List<CallerAnswers.Submission> answers) {
            this.sent = sent;
            this.answers = answers;
        }

        List<CallerAnswers.Submission> answers() {
            return answers;
        }

        /** Gives the time until the first answer, in milliseconds; negative while there is none. */
        long took() {
            return answeredAt - sent;
        }
    }

    /** Hands a job in. */
    Caller submit(int entry, String job, JobPlan plan, QueuePolicy policy) {
        Caller caller = new Caller(fleet.time().now(), fleet.submit(entry, job, plan, policy));
        all.add(caller);
        return caller;
    }

    /** Lets a millisecond pass. */
    void pass() {
        fleet.time().runUntil(fleet.time().now() + 1);
        for (Caller caller : all) {
            if (caller.answeredAt < 0 && !caller.answers.isEmpty()) {
                caller.answeredAt = fleet.time().now();
            }
        }
    }

    /** Lets time pass. */
    void pass(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed++) {
            pass();
        }
    }

    List<Caller> all() {
        return all;
    }
}
