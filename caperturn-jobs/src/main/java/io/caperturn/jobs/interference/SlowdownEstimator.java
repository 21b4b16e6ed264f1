package io.caperturn.jobs.interference;

import io.caperturn.jobs.model.PairSlowdown;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Estimator of how much longer the runs of one queue take beside runs of other queues.
 *
 * <p>A regression of the speed of a run (expected by measured duration), which is linear in the shares of its time
 * beside each other queue: recursive least squares with exponential forgetting (Ljung and Söderström, Theory and
 * Practice of Recursive Identification, MIT Press 1983), in information form. The intercept, the speed alone, takes up
 * constant errors of the expected duration; errors that vary from run to run widen the standard errors.
 */
final class SlowdownEstimator {
    /** Maximum number of other queues in the regression. */
    static final int MAX_OTHER_QUEUES = 8;
    /** Time in which the weight of a run halves, in milliseconds. */
    static final long HALF_LIFE_MILLISECONDS = 30_000;

    /** The intercept and one coefficient for each other queue; the intercept is the last one. */
    private static final int DIMENSION = MAX_OTHER_QUEUES + 1;

    private static final int INTERCEPT = MAX_OTHER_QUEUES;
    /** Added to the diagonal, so that a coefficient without any information gets a large error. */
    private static final double REGULARIZATION = 1e-6;
    /** Minimum total weight of runs for an estimate of the noise. */
    private static final double MIN_WEIGHT = 30;
    /** Minimum standard deviation of the speed of one run: clocks and listings are coarse. */
    private static final double MIN_NOISE = 0.05;
    /** Maximum standard error of an estimate that tells anything. */
    private static final double MAX_STANDARD_ERROR = 1;
    /** Information below which another queue makes room for a new one. */
    private static final double MIN_INFORMATION = 0.01;
    /** Maximum speed derived from a single run. */
    private static final double MAX_SPEED = 10;
    /** Minimum speed of runs beside another queue, as a fraction of their speed alone. */
    private static final double MIN_RELATIVE_SPEED = 0.1;

    private final String queue;
    private final String[] otherQueues = new String[MAX_OTHER_QUEUES];
    /** Weighted sums of the products of regressors. */
    private final double[][] information = new double[DIMENSION][DIMENSION];
    /** Weighted sums of the products of regressors and speeds. */
    private final double[] moments = new double[DIMENSION];

    private double squares;
    private long updatedAt;

    SlowdownEstimator(String queue) {
        this.queue = queue;
    }

    /** Adds a finished run with a weight, at a time in milliseconds. */
    void add(CoRunnerTracker.FinishedRun run, double weight, long now) {
        if (run.expectedMilliseconds() <= 0 || run.runMilliseconds() <= 0) {
            return;
        }
        forget(now);
        double speed = Math.min(MAX_SPEED, (double) run.expectedMilliseconds() / run.runMilliseconds());
        double[] regressors = new double[DIMENSION];
        regressors[INTERCEPT] = 1;
        boolean[] used = new boolean[MAX_OTHER_QUEUES];
        for (int index = 0; index < MAX_OTHER_QUEUES; index++) {
            used[index] = otherQueues[index] != null && run.shares().containsKey(otherQueues[index]);
        }
        for (Map.Entry<String, Double> share : run.shares().entrySet()) {
            indexOf(share.getKey(), used).ifPresent(index -> {
                used[index] = true;
                regressors[index] = share.getValue();
            });
        }
        for (int row = 0; row < DIMENSION; row++) {
            for (int column = 0; column < DIMENSION; column++) {
                information[row][column] += weight * regressors[row] * regressors[column];
            }
            moments[row] += weight * regressors[row] * speed;
        }
        squares += weight * speed * speed;
    }

    /** Returns the total weight of the runs at a time in milliseconds. */
    double weight(long now) {
        forget(now);
        return information[INTERCEPT][INTERCEPT];
    }

    /** Returns the estimates at a time in milliseconds; none before there are enough runs. */
    List<PairSlowdown> estimates(long now) {
        double weight = weight(now);
        if (weight < MIN_WEIGHT) {
            return List.of();
        }
        double[][] inverse = invertedInformation();
        double[] coefficients = new double[DIMENSION];
        double explained = 0;
        for (int row = 0; row < DIMENSION; row++) {
            for (int column = 0; column < DIMENSION; column++) {
                coefficients[row] += inverse[row][column] * moments[column];
            }
            explained += coefficients[row] * moments[row];
        }
        long used = Arrays.stream(otherQueues).filter(name -> name != null).count();
        double variance = Math.max(MIN_NOISE * MIN_NOISE, (squares - explained) / Math.max(1, weight - 1 - used));
        List<PairSlowdown> estimates = new ArrayList<>();
        double speedAlone = coefficients[INTERCEPT];
        for (int index = 0; index < MAX_OTHER_QUEUES; index++) {
            double speedBeside = Math.max(MIN_RELATIVE_SPEED * speedAlone, speedAlone + coefficients[index]);
            // The error of a logarithm is the relative error of its argument.
            double standardError = Math.sqrt(variance * inverse[index][index]) / speedBeside;
            if (otherQueues[index] != null && speedAlone > 0 && standardError <= MAX_STANDARD_ERROR) {
                estimates.add(
                        PairSlowdown.of(queue, otherQueues[index], Math.log(speedAlone / speedBeside), standardError));
            }
        }
        return estimates;
    }

    private void forget(long now) {
        if (now <= updatedAt) {
            return;
        }
        double kept = Math.pow(0.5, (double) (now - updatedAt) / HALF_LIFE_MILLISECONDS);
        updatedAt = now;
        for (int row = 0; row < DIMENSION; row++) {
            for (int column = 0; column < DIMENSION; column++) {
                information[row][column] *= kept;
            }
            moments[row] *= kept;
        }
        squares *= kept;
    }

    /**
     * Returns the index of another queue; a new one gets a free index, or that of the queue with the least information
     * if that is negligible. Empty if there is no room for it; the indices in use by the run are not given away.
     */
    private OptionalInt indexOf(String name, boolean[] used) {
        int known = Arrays.asList(otherQueues).indexOf(name);
        if (known >= 0) {
            return OptionalInt.of(known);
        }
        OptionalInt index = indexForNewQueue(used);
        index.ifPresent(chosen -> {
            otherQueues[chosen] = name;
            for (int other = 0; other < DIMENSION; other++) {
                information[chosen][other] = 0;
                information[other][chosen] = 0;
            }
            moments[chosen] = 0;
        });
        return index;
    }

    private OptionalInt indexForNewQueue(boolean[] used) {
        int free = Arrays.asList(otherQueues).indexOf(null);
        if (free >= 0) {
            return OptionalInt.of(free);
        }
        return IntStream.range(0, MAX_OTHER_QUEUES)
                .filter(index -> !used[index] && information[index][index] < MIN_INFORMATION)
                .boxed()
                .min(Comparator.comparingDouble(index -> information[index][index]))
                .map(OptionalInt::of)
                .orElseGet(OptionalInt::empty);
    }

    /** Returns the inverse of the regularized information by Gauss-Jordan elimination; it is positive definite. */
    private double[][] invertedInformation() {
        double[][] left = new double[DIMENSION][];
        double[][] inverse = new double[DIMENSION][DIMENSION];
        for (int row = 0; row < DIMENSION; row++) {
            left[row] = information[row].clone();
            left[row][row] += REGULARIZATION;
            inverse[row][row] = 1;
        }
        for (int pivot = 0; pivot < DIMENSION; pivot++) {
            double divisor = left[pivot][pivot];
            for (int column = 0; column < DIMENSION; column++) {
                left[pivot][column] /= divisor;
                inverse[pivot][column] /= divisor;
            }
            for (int row = 0; row < DIMENSION; row++) {
                double factor = left[row][pivot];
                if (row != pivot && factor != 0) {
                    for (int column = 0; column < DIMENSION; column++) {
                        left[row][column] -= factor * left[pivot][column];
                        inverse[row][column] -= factor * inverse[pivot][column];
                    }
                }
            }
        }
        return inverse;
    }
}
