package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Jobs of the three kinds that the users submit, arriving at a simulated fleet at the users' rates, and the value that
 * the jobs earn: all of it if they complete on time, and a part of it if they are late.
 */
final class MixedLoad {
    private static final int ARRIVAL_SECONDS = 12;
    /** Time after the last arrival in which all jobs finish. */
    private static final int DRAIN_SECONDS = 8;

    /** Maximum relative error of an estimate, in either direction. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Value of a late answer, as a fraction of the value of one on time. */
    private static final double LATE_VALUE_FRACTION = 0.2;

    // Name, tasks of a job, task duration in ms, jobs per second, value on time, urgency.
    static final JobKind CHECK = new JobKind("check", 8, 86, 8.8, 0.0291, 0);
    static final JobKind RUN = new JobKind("run", 4, 1_286, 1.6, 0.16, 2);
    static final JobKind CERTIFICATE = new JobKind("certificate", 2, 286, 25.4, 0.01, 1);
    static final List<JobKind> KINDS = List.of(CHECK, RUN, CERTIFICATE);

    private final SimulatedFleet fleet;
    private final int entryCount;
    private final Callers simulatedCallers;
    private final List<SubmittedJob> submittedJobs = new ArrayList<>();
    private final Map<String, Long> taskMillisecondsByJob = new HashMap<>();
    private final Set<String> crashingJobs = new HashSet<>();
    private double crashingShare;

    /**
     * Creates a fleet.
     *
     * @param entryCount number of entry processes; callers choose any of them
     * @param speeds relative speed of each upstream
     */
    MixedLoad(int entryCount, double[] speeds) {
        this.entryCount = entryCount;
        // The duration of a task varies by up to 10 percent, depending on its index.
        this.fleet = new SimulatedFleet(
                entryCount,
                speeds.length,
                task -> taskMillisecondsByJob.get(task.job()) * (90 + task.index() * 37 % 21) / 100);
        this.simulatedCallers = new Callers(fleet);
        for (int number = 0; number < speeds.length; number++) {
            fleet.upstream(number).setSpeedFactor(speeds[number]);
            fleet.upstream(number).setCrashingTasks(task -> task.index() == 0 && crashingJobs.contains(task.job()));
        }
    }

    /**
     * Kind of job.
     *
     * @param name name of the kind and of its queue
     * @param tasksPerJob number of tasks of a job
     * @param taskMilliseconds usual duration of a task, in milliseconds
     * @param jobsPerSecond arrival rate at a load of 1
     * @param valueOnTime value of a job that is completed on time
     * @param urgency urgency of its queue; 0 is the most urgent
     */
    record JobKind(
            String name,
            int tasksPerJob,
            long taskMilliseconds,
            double jobsPerSecond,
            double valueOnTime,
            int urgency) {
        /** Returns the policy of its queue: at most two failed runs, objective of 1.6 times the estimate plus 60 ms. */
        QueuePolicy policy() {
            return new QueuePolicy(name, "host", "/" + name + "/", "service", urgency, 2, 1.6, 60);
        }

        /** Returns the maximum time from submission to completion of a job on time, in milliseconds. */
        long objectiveMilliseconds() {
            return Math.round(1.6 * taskMilliseconds) + 60;
        }
    }

    /** Submitted job, with the caller that waits for its answer. */
    record SubmittedJob(JobKind kind, Callers.Caller caller) {
        /** Returns the value of a completed job: less if it is late, and 0 after three times the objective. */
        double earnedValue() {
            boolean done = caller.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED));
            if (!done || caller.answerMilliseconds() > 3 * kind.objectiveMilliseconds()) {
                return 0;
            }
            return kind.valueOnTime()
                    * (caller.answerMilliseconds() <= kind.objectiveMilliseconds() ? 1 : LATE_VALUE_FRACTION);
        }
    }

    /** Makes the first task of a share of the next {@link #CHECK} jobs crash each upstream that starts it. */
    void setCrashingShare(double share) {
        crashingShare = share;
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    List<SubmittedJob> submittedJobs() {
        return submittedJobs;
    }

    /** Submits jobs at a load for 12 s, and waits until they have finished. */
    void run(double load, long seed) {
        submitAll(load, seed, ARRIVAL_SECONDS);
        awaitCompletion();
    }

    /** Waits until all jobs have finished. */
    void awaitCompletion() {
        simulatedCallers.advance(1_000 * DRAIN_SECONDS);
    }

    /**
     * Submits jobs at a load.
     *
     * @param load factor by which the rates of all kinds are multiplied
     * @param seed seed of arrivals and estimates
     * @param arrivalSeconds time for which jobs arrive, in seconds
     */
    void submitAll(double load, long seed, int arrivalSeconds) {
        Random random = new Random(seed);
        long start = fleet.time().now();
        double[] nextArrivals = {start, start, start};
        while (fleet.time().now() < start + 1_000L * arrivalSeconds) {
            for (int index = 0; index < KINDS.size(); index++) {
                JobKind kind = KINDS.get(index);
                if (fleet.time().now() >= nextArrivals[index]) {
                    // Exponentially distributed intervals, as between independent callers.
                    nextArrivals[index] += -Math.log(1 - random.nextDouble()) * 1_000 / (load * kind.jobsPerSecond());
                    submit(kind, random);
                }
            }
            simulatedCallers.advance();
        }
    }

    private void submit(JobKind kind, Random random) {
        String job = kind.name() + submittedJobs.size();
        taskMillisecondsByJob.put(job, kind.taskMilliseconds());
        if (kind == CHECK && crashingShare > 0 && random.nextDouble() < crashingShare) {
            crashingJobs.add(job);
        }
        long estimate = Math.round(kind.taskMilliseconds() * (1 + ESTIMATE_ERROR * (2 * random.nextDouble() - 1)));
        // The tasks need 1.6 cores and 64 MB each, run on any upstream, and are not limited per upstream.
        JobPlan plan = new JobPlan(
                kind.name(),
                "payload",
                List.of(new StepPlan(kind.tasksPerJob(), new Resources(1_600, 64, 0), estimate, List.of(), "", "", 0)),
                /* durable= */ false);
        submittedJobs.add(
                new SubmittedJob(kind, simulatedCallers.submit(random.nextInt(entryCount), job, plan, kind.policy())));
    }

    /** Returns the value earned by jobs of the selected kinds, as a fraction of their value if all were on time. */
    double earnedFraction(Predicate<JobKind> filter) {
        double possible = submittedJobs.stream()
                .filter(job -> filter.test(job.kind()))
                .mapToDouble(job -> job.kind().valueOnTime())
                .sum();
        double earned = submittedJobs.stream()
                .filter(job -> filter.test(job.kind()))
                .mapToDouble(SubmittedJob::earnedValue)
                .sum();
        return earned / possible;
    }
}
