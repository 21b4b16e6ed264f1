package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Callers of transient jobs that submit a job again, at any entry, after a broken connection, a missing answer or one
 * that tells that the job was begun but not completed. They wait a fixed time before that.
 */
final class ResubmittingCallers {
    /** Time between the end of an attempt and the next one, in milliseconds. */
    static final long RESUBMISSION_DELAY_MILLISECONDS = 1_300;

    private static final int MAX_ATTEMPTS = 4;

    private final SimulatedFleet fleet;
    private final int entryCount;
    private final Random random;
    private final long deadlineMilliseconds;
    private final List<Attempt> openAttempts = new ArrayList<>();
    private int resubmissions;

    /** Creates callers that wait for an answer up to a deadline, in milliseconds. */
    ResubmittingCallers(SimulatedFleet fleet, int entryCount, long deadlineMilliseconds, Random random) {
        this.fleet = fleet;
        this.entryCount = entryCount;
        this.deadlineMilliseconds = deadlineMilliseconds;
        this.random = random;
    }

    private final class Attempt {
        private final int entry;
        private final String job;
        private final JobPlan plan;
        private final int number;
        private boolean over;

        Attempt(int entry, String job, JobPlan plan, int number) {
            this.entry = entry;
            this.job = job;
            this.plan = plan;
            this.number = number;
        }

        void begin() {
            VirtualLoop loop = fleet.loop("entry-" + entry);
            if (loop.isKilled()) {
                breakOff();
                return;
            }
            openAttempts.add(this);
            loop.run(() -> {
                // The timer of the entry for the deadline of the caller.
                loop.after(deadlineMilliseconds, () -> abandonUnlessOver("deadline"));
                fleet.entry(entry).submit(job, plan, SampleJobs.QUEUE, this::handleAnswer);
            });
            fleet.time().after(deadlineMilliseconds, this::breakOff);
        }

        private void abandonUnlessOver(String cause) {
            if (!over) {
                fleet.entry(entry).abandon(job, cause);
            }
        }

        private void handleAnswer(CallerAnswers.Submission answer) {
            if (over) {
                return;
            }
            if (answer instanceof CallerAnswers.Submission.Abandoned abandoned && abandoned.started()) {
                end();
                resubmitLater();
            } else {
                end();
            }
        }

        /** Closes the connection without an answer; the entry learns of it as soon as it reads from its connections. */
        void breakOff() {
            if (over) {
                return;
            }
            end();
            fleet.loop("entry-" + entry).runLast(() -> fleet.entry(entry).abandon(job, "caller-gone"));
            resubmitLater();
        }

        private void end() {
            over = true;
            openAttempts.remove(this);
        }

        private void resubmitLater() {
            if (number < MAX_ATTEMPTS) {
                resubmissions++;
                int next = (entry + 1 + random.nextInt(Math.max(1, entryCount - 1))) % entryCount;
                fleet.time()
                        .after(RESUBMISSION_DELAY_MILLISECONDS, () -> new Attempt(next, job, plan, number + 1).begin());
            }
        }
    }

    void submit(int entry, String job, JobPlan plan) {
        new Attempt(entry, job, plan, 1).begin();
    }

    /** Breaks the connections of all callers that wait at an entry. */
    void breakConnections(int entry) {
        List.copyOf(openAttempts).stream()
                .filter(attempt -> attempt.entry == entry)
                .forEach(Attempt::breakOff);
    }

    /** Returns how many jobs were submitted again. */
    int resubmissions() {
        return resubmissions;
    }
}
