package io.caperturn.replay.trace;

import io.caperturn.core.model.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Generates submissions of one kind of task with random numbers of tasks, run times and inter-arrival times. */
final class SubmissionGenerator {
    private static final double MINIMUM_TASK_MILLISECONDS = 50;
    private static final double MAXIMUM_TASK_MILLISECONDS = 1_000;
    private static final double LONG_TASK_PROBABILITY = 0.02;
    private static final double LONG_TASK_MEAN_MILLISECONDS = 3_500;
    private static final double LONG_TASK_RANGE_MILLISECONDS = 3_000;

    private final SubmissionProfile profile;
    private final RandomGenerator random;
    private int nextKeyNumber;

    SubmissionGenerator(SubmissionProfile profile, RandomGenerator random) {
        this.profile = profile;
        this.random = random;
    }

    /** Accuracy of the declared run times. */
    enum EstimateAccuracy {
        /** The ratio to the actual time is log-normal with a standard deviation of 0.3 in the logarithm. */
        CLOSE,
        /** The declared time is up to ten times too short or too long. */
        WITHIN_FACTOR_TEN
    }

    /**
     * Properties of the generated submissions.
     *
     * @param kind the kind of the tasks
     * @param teams the number of teams that submit them
     * @param minimumTasks the minimum number of tasks of a submission
     * @param maximumTasks the maximum number of tasks of a submission
     * @param idempotentShare the share of submissions that may be retried, from 0 to 1
     * @param deadlineMilliseconds the time from the arrival of each submission to its deadline
     * @param accuracy the accuracy of the declared run times
     */
    record SubmissionProfile(
            String kind,
            int teams,
            int minimumTasks,
            int maximumTasks,
            double idempotentShare,
            long deadlineMilliseconds,
            EstimateAccuracy accuracy) {
        SubmissionProfile withAccuracy(EstimateAccuracy other) {
            return new SubmissionProfile(
                    kind, teams, minimumTasks, maximumTasks, idempotentShare, deadlineMilliseconds, other);
        }
    }

    /**
     * Generates submissions that arrive between two times, as a Poisson process.
     *
     * @param fromMilliseconds the start of the interval
     * @param toMilliseconds the end of the interval, exclusive
     * @param slots the mean number of slots that their tasks keep busy at speed 1
     * @return the submissions, in the order of time
     */
    List<TraceEvent> generateArrivals(double fromMilliseconds, double toMilliseconds, double slots) {
        double meanTasks = (profile.minimumTasks() + profile.maximumTasks()) / 2.0;
        double meanIntervalMilliseconds = meanTasks * meanTaskMilliseconds() / slots;
        List<TraceEvent> events = new ArrayList<>();
        double atMilliseconds = fromMilliseconds + meanIntervalMilliseconds * nextExponential();
        while (atMilliseconds < toMilliseconds) {
            events.add(generateSubmission(atMilliseconds));
            atMilliseconds += meanIntervalMilliseconds * nextExponential();
        }
        return events;
    }

    TraceEvent.Arrival generateSubmission(double atMilliseconds) {
        int tasks = profile.minimumTasks() + random.nextInt(profile.maximumTasks() - profile.minimumTasks() + 1);
        return generateSubmission(atMilliseconds, tasks);
    }

    TraceEvent.Arrival generateSubmission(double atMilliseconds, int tasks) {
        List<TraceEvent.Task> generated = new ArrayList<>(tasks);
        for (int index = 0; index < tasks; index++) {
            generated.add(generateTask());
        }
        boolean idempotent = random.nextDouble() < profile.idempotentShare();
        return new TraceEvent.Arrival(
                roundToMicroseconds(atMilliseconds),
                profile.kind() + "-team-" + random.nextInt(profile.teams()),
                profile.kind() + "-" + nextKeyNumber++,
                profile.kind(),
                /* urgency= */ (Urgency) null,
                idempotent,
                profile.deadlineMilliseconds(),
                generated);
    }

    private TraceEvent.Task generateTask() {
        boolean isLong = random.nextDouble() < LONG_TASK_PROBABILITY;
        double actual = isLong
                ? LONG_TASK_MEAN_MILLISECONDS + LONG_TASK_RANGE_MILLISECONDS * (random.nextDouble() - 0.5)
                : MINIMUM_TASK_MILLISECONDS
                        * Math.pow(MAXIMUM_TASK_MILLISECONDS / MINIMUM_TASK_MILLISECONDS, random.nextDouble());
        double estimateFactor = switch (profile.accuracy()) {
            case CLOSE -> Math.exp(0.3 * random.nextGaussian());
            case WITHIN_FACTOR_TEN -> Math.pow(10, 2 * random.nextDouble() - 1);
        };
        return new TraceEvent.Task(roundToMicroseconds(actual * estimateFactor), roundToMicroseconds(actual));
    }

    /** Returns the mean run time of a task; the run times of all but the long tasks are log-uniformly distributed. */
    private static double meanTaskMilliseconds() {
        double ratio = Math.log(MAXIMUM_TASK_MILLISECONDS / MINIMUM_TASK_MILLISECONDS);
        double shortTaskMean = (MAXIMUM_TASK_MILLISECONDS - MINIMUM_TASK_MILLISECONDS) / ratio;
        return LONG_TASK_PROBABILITY * LONG_TASK_MEAN_MILLISECONDS + (1 - LONG_TASK_PROBABILITY) * shortTaskMean;
    }

    private double nextExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private static double roundToMicroseconds(double milliseconds) {
        return Math.round(milliseconds * 1_000) / 1_000.0;
    }
}
