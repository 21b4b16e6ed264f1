package io.caperturn.jobs.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongToDoubleFunction;

/**
 * Upper bound of the value that any dispatcher can earn with given room: one that knows all arrivals, divides work at
 * will, moves it between upstreams at no cost, and never waits for a message.
 *
 * <p>Work that such a dispatcher can complete by given deadlines, with given arrivals, is what the earliest deadline
 * first completes (Liu and Layland, 1973). The feasible amounts of work form a polymatroid, so that the value is
 * highest if jobs are taken by value for each unit of work (Edmonds, 1970).
 */
final class IdealDispatcher {
    private static final long STEP_MILLISECONDS = 10;
    /** Number of halvings with which the part of a job that still fits is searched. */
    private static final int SEARCH_STEPS = 6;

    /** Part of a job by which the part found is too small at most. */
    private static final double SEARCH_ERROR = 1.0 / (1 << SEARCH_STEPS);

    /** Work that can be done in one millisecond, in tasks at normal speed, at a time in milliseconds. */
    private final LongToDoubleFunction capacity;

    IdealDispatcher(LongToDoubleFunction capacity) {
        this.capacity = capacity;
    }

    /**
     * Job that a dispatcher can do in part.
     *
     * @param arrivedAt time of arrival, in milliseconds
     * @param deadline time by which it has to be complete, in milliseconds
     * @param work sum of the durations of its tasks at normal speed, in milliseconds
     * @param value value of the whole job if it is complete by its deadline
     */
    record Job(long arrivedAt, long deadline, double work, double value) {
        Job part(double fraction) {
            return new Job(arrivedAt, deadline, fraction * work, fraction * value);
        }
    }

    /** Returns the highest value of work that is complete by its deadlines. */
    double maximumValue(List<Job> jobs) {
        List<Job> byValue = new ArrayList<>(jobs);
        byValue.sort(Comparator.comparingDouble((Job job) -> -job.value() / job.work()));
        List<Job> chosen = new ArrayList<>();
        double value = 0;
        for (Job job : byValue) {
            chosen.add(job);
            if (isFeasible(chosen)) {
                value += job.value();
            } else {
                chosen.removeLast();
                double feasible = feasibleFraction(chosen, job);
                if (feasible > 0) {
                    chosen.add(job.part(feasible));
                }
                // Rounded up, because the value is an upper bound.
                value += Math.min(1, feasible + SEARCH_ERROR) * job.value();
            }
        }
        return value;
    }

    private double feasibleFraction(List<Job> chosen, Job job) {
        double feasible = 0;
        double step = 0.5;
        for (int number = 0; number < SEARCH_STEPS; number++, step /= 2) {
            chosen.add(job.part(feasible + step));
            if (isFeasible(chosen)) {
                feasible += step;
            }
            chosen.removeLast();
        }
        return feasible;
    }

    /** Returns whether all jobs are complete by their deadlines if the earliest deadline always comes first. */
    private boolean isFeasible(List<Job> jobs) {
        List<Job> arrivals = new ArrayList<>(jobs);
        arrivals.sort(Comparator.comparingLong(Job::arrivedAt));
        PriorityQueue<double[]> waiting = new PriorityQueue<>(Comparator.comparingDouble((double[] job) -> job[0]));
        int next = 0;
        long now = arrivals.getFirst().arrivedAt();
        while (next < arrivals.size() || !waiting.isEmpty()) {
            while (next < arrivals.size() && arrivals.get(next).arrivedAt() < now + STEP_MILLISECONDS) {
                Job job = arrivals.get(next++);
                waiting.add(new double[] {job.deadline(), job.work()});
            }
            double available = capacity.applyAsDouble(now) * STEP_MILLISECONDS;
            while (available > 0 && !waiting.isEmpty()) {
                double[] job = waiting.peek();
                double done = Math.min(available, job[1]);
                available -= done;
                job[1] -= done;
                if (job[1] <= 0) {
                    waiting.poll();
                } else if (job[0] < now) {
                    return false;
                }
            }
            if (!waiting.isEmpty() && waiting.peek()[0] < now) {
                return false;
            }
            now += STEP_MILLISECONDS;
        }
        return true;
    }
}
