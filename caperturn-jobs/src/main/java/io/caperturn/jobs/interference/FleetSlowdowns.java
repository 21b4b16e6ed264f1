package io.caperturn.jobs.interference;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.PairSlowdown;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates of all sidecars of how much the runs of queues slow each other down, merged at an entry.
 *
 * <p>A pair belongs to the work and not to one instance. It counts as learned once the mean over all sidecars exceeds a
 * negligible slowdown by several standard errors.
 */
public final class FleetSlowdowns {
    /** Age at which the estimates of a sidecar expire, in milliseconds: three times the interval of repetitions. */
    static final long EXPIRY_MILLISECONDS = 60_000;
    /** Minimum interval between two merges of all estimates, in milliseconds. */
    private static final long MERGE_INTERVAL_MILLISECONDS = 1_000;
    /**
     * Time for which an estimate has to exceed a negligible slowdown until its pair is learned, in milliseconds: tasks
     * of one job run at many sidecars at once, so that these are not independent for a moment.
     */
    static final long CONFIRMATION_MILLISECONDS = 5_000;
    /** Maximum number of learned pairs. */
    private static final int MAX_PAIRS = 64;
    /** Minimum standard error of one sidecar's estimate, so that no single sidecar decides against many. */
    private static final double MIN_STANDARD_ERROR = 0.05;
    /** Standard errors above a negligible slowdown at which a pair is learned. */
    private static final double LEARNING_STANDARD_ERRORS = 4;
    /**
     * Standard errors by which the slowdown that placing expects is below the mean; a learned pair is dropped once this
     * is negligible.
     */
    private static final double PLACING_STANDARD_ERRORS = 2;

    private static final double PERCENT = 100;

    private final DecisionLoop loop;
    private final Map<String, Told> toldBySidecar = new HashMap<>();
    /** Fraction by which runs of learned pairs are expected to take longer. */
    private final Map<Pair, Double> extraFractionByPair = new HashMap<>();

    /** When each pair that is not learned was first found to be slow, without a break since. */
    private final Map<Pair, Long> foundAt = new HashMap<>();

    private boolean changed;
    private long mergedAt;

    /**
     * Creates an entry's view without estimates.
     *
     * @param loop the loop on which all calls are made
     */
    public FleetSlowdowns(DecisionLoop loop) {
        this.loop = loop;
    }

    private record Told(JobFrame.Slowdowns slowdowns, long receivedAt) {}

    private record Pair(String queue, String beside) {}

    /** Estimates of one pair by several sidecars, weighted by the inverse of their variances. */
    private static final class Merged {
        private final List<PairSlowdown> estimates = new ArrayList<>();

        private static double weight(PairSlowdown estimate) {
            double error = Math.max(MIN_STANDARD_ERROR, estimate.standardError());
            return 1 / (error * error);
        }

        private double totalWeight() {
            return estimates.stream().mapToDouble(Merged::weight).sum();
        }

        private double mean() {
            return estimates.stream()
                            .mapToDouble(estimate -> weight(estimate) * estimate.logSlowdown())
                            .sum()
                    / totalWeight();
        }

        /**
         * Returns the standard error of the mean, which is larger if the estimates differ by more than their errors.
         */
        private double standardError() {
            double mean = mean();
            double chiSquare = estimates.stream()
                    .mapToDouble(estimate -> weight(estimate) * Math.pow(estimate.logSlowdown() - mean, 2))
                    .sum();
            double birgeRatio = estimates.size() == 1 ? 1 : Math.max(1, chiSquare / (estimates.size() - 1));
            return Math.sqrt(birgeRatio / totalWeight());
        }
    }

    /**
     * Replaces the estimates of a sidecar.
     *
     * @param incarnation identifier of the start of the sidecar
     * @param slowdowns its estimates
     */
    public void update(String incarnation, JobFrame.Slowdowns slowdowns) {
        toldBySidecar.put(incarnation, new Told(slowdowns, loop.monotonicMilliseconds()));
        changed = true;
    }

    /** Merges the estimates if they have changed, learns and drops pairs, and forgets expired estimates. */
    public void tick() {
        long now = loop.monotonicMilliseconds();
        if (now - mergedAt < MERGE_INTERVAL_MILLISECONDS) {
            return;
        }
        changed |= toldBySidecar.values().removeIf(told -> now - told.receivedAt() > EXPIRY_MILLISECONDS);
        if (!changed) {
            return;
        }
        changed = false;
        mergedAt = now;
        Map<Pair, Merged> mergedByPair = new HashMap<>();
        for (Told told : toldBySidecar.values()) {
            for (PairSlowdown estimate : told.slowdowns().pairs()) {
                mergedByPair
                        .computeIfAbsent(new Pair(estimate.queue(), estimate.beside()), key -> new Merged())
                        .estimates
                        .add(estimate);
            }
        }
        foundAt.keySet().retainAll(mergedByPair.keySet());
        mergedByPair.forEach(this::judge);
        Set<Pair> unknown = new HashSet<>(extraFractionByPair.keySet());
        unknown.removeAll(mergedByPair.keySet());
        unknown.forEach(pair -> drop(pair, /* percent= */ 0, /* sidecars= */ 0));
    }

    private void judge(Pair pair, Merged merged) {
        double mean = merged.mean();
        double error = merged.standardError();
        boolean known = extraFractionByPair.containsKey(pair);
        double margin = known ? PLACING_STANDARD_ERRORS : LEARNING_STANDARD_ERRORS;
        boolean holds = mean - margin * error > InterferenceMonitor.NEGLIGIBLE_LOG_SLOWDOWN;
        long percent = Math.round(Math.expm1(mean) * PERCENT);
        if (!holds) {
            foundAt.remove(pair);
            if (known) {
                drop(pair, percent, merged.estimates.size());
            }
            return;
        }
        if (!known) {
            long since = foundAt.computeIfAbsent(pair, key -> mergedAt);
            if (mergedAt - since < CONFIRMATION_MILLISECONDS || extraFractionByPair.size() >= MAX_PAIRS) {
                return;
            }
            foundAt.remove(pair);
            log(EventName.SLOWDOWN_LEARNED, pair, percent, merged.estimates.size());
        }
        extraFractionByPair.put(pair, Math.max(0, Math.expm1(mean - PLACING_STANDARD_ERRORS * error)));
        setLevel(pair, percent);
    }

    private void drop(Pair pair, long percent, int sidecars) {
        extraFractionByPair.remove(pair);
        log(EventName.SLOWDOWN_DROPPED, pair, percent, sidecars);
        setLevel(pair, 0);
    }

    private void log(EventName event, Pair pair, long percent, int sidecars) {
        loop.log()
                .event(
                        event,
                        EventKey.QUEUE,
                        pair.queue(),
                        EventKey.BESIDE,
                        pair.beside(),
                        EventKey.PERCENT,
                        percent,
                        EventKey.SIDECARS,
                        sidecars);
        loop.log().count(event.label());
    }

    private void setLevel(Pair pair, long percent) {
        loop.log().level("slowdown-percent-" + pair.queue() + "-beside-" + pair.beside(), percent);
    }

    /**
     * Returns whether no pair is learned.
     *
     * @return true if no placement has a cost of interference
     */
    public boolean isEmpty() {
        return extraFractionByPair.isEmpty();
    }

    /**
     * Returns the fraction by which the runs of a queue are expected to take longer beside another queue.
     *
     * @param queue name of the queue
     * @param beside name of the other queue
     * @return the fraction; 0 if the pair is not learned
     */
    public double extraFraction(String queue, String beside) {
        return extraFractionByPair.getOrDefault(new Pair(queue, beside), 0.0);
    }

    /**
     * Returns the average numbers of active runs that a sidecar told with its estimates.
     *
     * @param incarnation identifier of the start of the sidecar
     * @return the numbers in hundredths, by name of the queue
     */
    public Map<String, Integer> levelHundredths(String incarnation) {
        Told told = toldBySidecar.get(incarnation);
        return told == null ? Map.of() : told.slowdowns().levelHundredths();
    }

    /** Forgets all estimates and pairs. */
    public void clear() {
        toldBySidecar.clear();
        extraFractionByPair.keySet().forEach(pair -> setLevel(pair, 0));
        extraFractionByPair.clear();
        foundAt.clear();
    }
}
