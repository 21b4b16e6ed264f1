package io.caperturn.replay.trace;

import io.caperturn.core.model.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Source of submissions of one kind with random sizes, times and distances between them. */
final class WorkSource {
    private static final double SHORTEST_MILLISECONDS = 50;
    private static final double LONGEST_MILLISECONDS = 1_000;
    private static final double LONG_TASK_PROBABILITY = 0.02;
    private static final double MEAN_LONG_MILLISECONDS = 3_500;
    private static final double LONG_SPREAD_MILLISECONDS = 3_000;

    private final Shape shape;
    private final RandomGenerator random;
    private int number;

    WorkSource(Shape shape, RandomGenerator random) {
        this.shape = shape;
        this.random = random;
    }

    /** How well declared times match. */
    enum Estimates {
        /** A few tens of per cent off. */
        CLOSE,
        /** Up to ten times too low or too high. */
        OFF_BY_TEN
    }

    /**
     * What a source makes.
     *
     * @param kind the kind
     * @param teams how many teams submit it
     * @param leastTasks the fewest tasks of a submission
     * @param mostTasks the most tasks of a submission
     * @param idempotentShare the part of submissions that may be retried, from 0 to 1
     * @param deadlineMilliseconds the deadline of each
     * @param estimates how well declared times match
     */
    record Shape(
            String kind,
            int teams,
            int leastTasks,
            int mostTasks,
            double idempotentShare,
            long deadlineMilliseconds,
            Estimates estimates) {
        Shape withEstimates(Estimates other) {
            return new Shape(kind, teams, leastTasks, mostTasks, idempotentShare, deadlineMilliseconds, other);
        }
    }

    /** Returns submissions that arrive by chance between two times and bring the given slots of work at speed 1. */
    List<TraceEvent> arrivals(double fromMilliseconds, double toMilliseconds, double slots) {
        double meanTasks = (shape.leastTasks() + shape.mostTasks()) / 2.0;
        double distance = meanTasks * meanTaskMilliseconds() / slots;
        List<TraceEvent> events = new ArrayList<>();
        double at = fromMilliseconds + distance * exponential();
        while (at < toMilliseconds) {
            events.add(submission(at));
            at += distance * exponential();
        }
        return events;
    }

    TraceEvent.Arrival submission(double at) {
        int tasks = shape.leastTasks() + random.nextInt(shape.mostTasks() - shape.leastTasks() + 1);
        return submission(at, tasks);
    }

    TraceEvent.Arrival submission(double at, int tasks) {
        List<TraceEvent.Task> drawn = new ArrayList<>(tasks);
        for (int index = 0; index < tasks; index++) {
            drawn.add(task());
        }
        boolean idempotent = random.nextDouble() < shape.idempotentShare();
        return new TraceEvent.Arrival(
                round(at),
                shape.kind() + "-team-" + random.nextInt(shape.teams()),
                shape.kind() + "-" + number++,
                shape.kind(),
                (Urgency) null,
                idempotent,
                shape.deadlineMilliseconds(),
                drawn);
    }

    private TraceEvent.Task task() {
        boolean isLong = random.nextDouble() < LONG_TASK_PROBABILITY;
        double actual = isLong
                ? MEAN_LONG_MILLISECONDS + LONG_SPREAD_MILLISECONDS * (random.nextDouble() - 0.5)
                : SHORTEST_MILLISECONDS * Math.pow(LONGEST_MILLISECONDS / SHORTEST_MILLISECONDS, random.nextDouble());
        double factor = switch (shape.estimates()) {
            case CLOSE -> Math.exp(0.3 * random.nextGaussian());
            case OFF_BY_TEN -> Math.pow(10, 2 * random.nextDouble() - 1);
        };
        return new TraceEvent.Task(round(actual * factor), round(actual));
    }

    private static double meanTaskMilliseconds() {
        double ratio = Math.log(LONGEST_MILLISECONDS / SHORTEST_MILLISECONDS);
        double ordinary = (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS) / ratio;
        return LONG_TASK_PROBABILITY * MEAN_LONG_MILLISECONDS + (1 - LONG_TASK_PROBABILITY) * ordinary;
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private static double round(double milliseconds) {
        return Math.round(milliseconds * 1_000) / 1_000.0;
    }
}
