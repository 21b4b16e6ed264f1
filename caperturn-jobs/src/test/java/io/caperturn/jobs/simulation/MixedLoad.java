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
    /** Part of the value of a job that does not depend on its size. */
    private static final double FIXED_VALUE_FRACTION = 0.3;
    /** Largest size of a job, as a multiple of the usual one of its kind. */
    private static final double MAX_RELATIVE_SIZE = 4;
    /** Time after which a caller submits a job again whose entry is lost, in milliseconds. */
    private static final long RESUBMISSION_MILLISECONDS = 1_300;
    /** Value of a late answer, as a fraction of the value of one on time. */
    static final double LATE_VALUE_FRACTION = 0.2;

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
    /** Actions that submit a job again after a time, if its entry was lost. */
    private final Map<SubmittedJob, Runnable> resubmissions = new HashMap<>();

    private final Set<String> crashingJobs = new HashSet<>();
    private double crashingShare;
    private double sizeDeviation;

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
    }

    /** Submitted job, with the duration of its tasks in milliseconds and the caller that waits for its answer. */
    record SubmittedJob(JobKind kind, int taskCount, long taskMilliseconds, Callers.Caller caller) {
        /** Returns the maximum time from submission to completion of the job on time, in milliseconds. */
        long objectiveMilliseconds() {
            return kind.policy().objectiveMilliseconds(taskMilliseconds);
        }

        /** Returns the sum of the durations of all tasks, in milliseconds. */
        long work() {
            return taskCount * taskMilliseconds;
        }

        /** Returns the value of the job if it is completed on time: that of its kind, by its size for the most part. */
        double valueOnTime() {
            double relativeWork = (double) work() / (kind.tasksPerJob() * kind.taskMilliseconds());
            return kind.valueOnTime() * (FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * relativeWork);
        }

        /** Returns the value of a completed job: less if it is late, and 0 after three times the objective. */
        double earnedValue() {
            boolean done = caller.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED));
            if (!done || caller.answerMilliseconds() > 3 * objectiveMilliseconds()) {
                return 0;
            }
            return valueOnTime() * (caller.answerMilliseconds() <= objectiveMilliseconds() ? 1 : LATE_VALUE_FRACTION);
        }
    }

    /** Makes the first task of a share of the next {@link #CHECK} jobs crash each upstream that starts it. */
    void setCrashingShare(double share) {
        crashingShare = share;
    }

    /**
     * Makes the number and the duration of the tasks of the next jobs vary.
     *
     * @param deviation standard deviation of their logarithms
     */
    void setSizeDeviation(double deviation) {
        sizeDeviation = deviation;
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
        long taskMilliseconds = varied(kind.taskMilliseconds(), random);
        int tasks = (int) varied(kind.tasksPerJob(), random);
        taskMillisecondsByJob.put(job, taskMilliseconds);
        if (kind == CHECK && crashingShare > 0 && random.nextDouble() < crashingShare) {
            crashingJobs.add(job);
        }
        long estimate = Math.round(taskMilliseconds * (1 + ESTIMATE_ERROR * (2 * random.nextDouble() - 1)));
        // The tasks need 1.6 cores and 64 MB each, run on any upstream, and are not limited per upstream.
        JobPlan plan = new JobPlan(
                kind.name(),
                "payload",
                List.of(new StepPlan(tasks, new Resources(1_600, 64, 0), estimate, List.of(), "", "", 0)),
                /* durable= */ false);
        int entry = random.nextInt(entryCount);
        SubmittedJob submitted = new SubmittedJob(
                kind, tasks, taskMilliseconds, simulatedCallers.submit(entry, job, plan, kind.policy()));
        submittedJobs.add(submitted);
        Runnable again = () -> fleet.entry(entry)
                .submit(job, plan, kind.policy(), submitted.caller().answers()::add);
        resubmissions.put(submitted, () -> resubmit(submitted, "entry-" + entry, again));
        if (fleet.loop("entry-" + entry).isKilled()) {
            resubmissions.get(submitted).run();
        }
    }

    private long varied(long usual, Random random) {
        if (sizeDeviation == 0) {
            return usual;
        }
        // Log-normal, with the usual size as its mean.
        double factor = Math.exp(sizeDeviation * random.nextGaussian() - sizeDeviation * sizeDeviation / 2);
        return Math.max(1, Math.round(usual * Math.min(MAX_RELATIVE_SIZE, factor)));
    }

    /** Makes the callers who wait now submit their jobs again after a time, because the entries are lost. */
    void resubmitWaitingJobs() {
        submittedJobs.stream()
                .filter(job -> job.caller().answers().isEmpty())
                .forEach(job -> resubmissions.get(job).run());
    }

    private void resubmit(SubmittedJob submitted, String entry, Runnable again) {
        fleet.time().after(RESUBMISSION_MILLISECONDS, () -> {
            if (fleet.loop(entry).isKilled()) {
                resubmit(submitted, entry, again);
            } else {
                again.run();
            }
        });
    }

    /** Returns the value earned by jobs of the selected kinds, as a fraction of their value if all were on time. */
    double earnedFraction(Predicate<JobKind> filter) {
        double possible = submittedJobs.stream()
                .filter(job -> filter.test(job.kind()))
                .mapToDouble(SubmittedJob::valueOnTime)
                .sum();
        double earned = submittedJobs.stream()
                .filter(job -> filter.test(job.kind()))
                .mapToDouble(SubmittedJob::earnedValue)
                .sum();
        return earned / possible;
    }
}
