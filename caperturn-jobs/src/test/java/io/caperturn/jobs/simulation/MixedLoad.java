package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/** Jobs of the users' three kinds, submitted to a simulated fleet at the users' rates, and the value earned by them. */
final class MixedLoad {
    private static final int ARRIVAL_SECONDS = 12;
    private static final int DRAIN_SECONDS = 8;
    /** Maximum relative error of an estimate, in either direction. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Value of a late answer, as a share of the value of one on time. */
    private static final double LATE_VALUE_SHARE = 0.2;

    static final JobKind CHECK = new JobKind("check", 8, 86, 8.8, 0.0291, 0);
    static final JobKind RUN = new JobKind("run", 4, 1_286, 1.6, 0.16, 2);
    static final JobKind CERTIFICATE = new JobKind("certificate", 2, 286, 25.4, 0.01, 1);
    private static final List<JobKind> KINDS = List.of(CHECK, RUN, CERTIFICATE);

    private final SimulatedFleet fleet;
    private final int entryCount;
    private final Callers submissions;
    private final List<Caller> callers = new ArrayList<>();
    private final Map<String, Long> taskMilliseconds = new HashMap<>();

    /**
     * Creates a fleet.
     *
     * @param entryCount number of entries; callers choose any of them
     * @param speeds relative speed of each upstream
     */
    MixedLoad(int entryCount, double[] speeds) {
        this.entryCount = entryCount;
        // The duration of a task varies by up to 10 percent, depending on its index.
        this.fleet = new SimulatedFleet(
                entryCount,
                speeds.length,
                task -> taskMilliseconds.get(task.job()) * (90 + task.index() * 37 % 21) / 100);
        this.submissions = new Callers(fleet);
        for (int number = 0; number < speeds.length; number++) {
            fleet.upstream(number).setSpeed(speeds[number]);
        }
    }

    /**
     * Kind of job.
     *
     * @param name name of the kind and of its queue
     * @param tasks number of tasks of a job
     * @param milliseconds usual duration of a task, in milliseconds
     * @param jobsPerSecond arrival rate at a load of 1
     * @param value value of a job that is completed on time
     * @param urgency priority of its queue
     */
    record JobKind(String name, int tasks, long milliseconds, double jobsPerSecond, double value, int urgency) {
        QueuePolicy policy() {
            return new QueuePolicy(name, "host", "/" + name + "/", "service", urgency, 2, 1.6, 60);
        }

        /** Returns the maximum time from submission to completion of a job on time, in milliseconds. */
        long objectiveMilliseconds() {
            return Math.round(1.6 * milliseconds) + 60;
        }
    }

    /** A submitted job. */
    record Caller(JobKind kind, Callers.Caller call) {
        /** Returns the value of a completed job: less if it is late, and 0 after three times the objective. */
        double earnedValue() {
            boolean done = call.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED));
            if (!done || call.answerMilliseconds() > 3 * kind.objectiveMilliseconds()) {
                return 0;
            }
            return kind.value() * (call.answerMilliseconds() <= kind.objectiveMilliseconds() ? 1 : LATE_VALUE_SHARE);
        }
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    List<Caller> callers() {
        return callers;
    }

    /**
     * Submits jobs at a load, and waits until they have finished.
     *
     * @param load factor on the rates of all kinds
     * @param seed seed of arrivals and estimates
     */
    void run(double load, long seed) {
        Random random = new Random(seed);
        long start = fleet.time().now();
        double[] nextArrivals = {start, start, start};
        while (fleet.time().now() < start + 1_000L * ARRIVAL_SECONDS) {
            for (int index = 0; index < KINDS.size(); index++) {
                JobKind kind = KINDS.get(index);
                if (fleet.time().now() >= nextArrivals[index]) {
                    // Exponentially distributed intervals, as between independent callers.
                    nextArrivals[index] += -Math.log(1 - random.nextDouble()) * 1_000 / (load * kind.jobsPerSecond());
                    submit(kind, random);
                }
            }
            submissions.advance();
        }
        submissions.advance(1_000 * DRAIN_SECONDS);
    }

    private void submit(JobKind kind, Random random) {
        String job = kind.name() + callers.size();
        taskMilliseconds.put(job, kind.milliseconds());
        long estimate = Math.round(kind.milliseconds() * (1 + ESTIMATE_ERROR * (2 * random.nextDouble() - 1)));
        JobPlan plan = new JobPlan(
                kind.name(),
                "payload",
                List.of(new StepPlan(kind.tasks(), new Resources(1_600, 64, 0), estimate, List.of(), "", "", 0)),
                false);
        callers.add(new Caller(kind, submissions.submit(random.nextInt(entryCount), job, plan, kind.policy())));
    }

    /** Returns the value earned by jobs of the selected kinds, as a share of the value possible if all were on time. */
    double earnedShare(Predicate<JobKind> filter) {
        double possible = callers.stream()
                .filter(caller -> filter.test(caller.kind()))
                .mapToDouble(caller -> caller.kind().value())
                .sum();
        double earned = callers.stream()
                .filter(caller -> filter.test(caller.kind()))
                .mapToDouble(Caller::earnedValue)
                .sum();
        return earned / possible;
    }
}
