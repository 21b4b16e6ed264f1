package io.caperturn.jobs.interference;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.PairSlowdown;
import io.caperturn.jobs.model.RunIdentity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Monitor of the runs on one upstream, at its sidecar: measures how much longer the runs of each queue take beside runs
 * of each other queue.
 */
public final class InterferenceMonitor {
    /** Maximum number of pairs and of levels in one report. */
    static final int MAX_REPORTED = 8;
    /** Slowdown that callers would hardly notice, as a natural logarithm: 5 %. */
    static final double NEGLIGIBLE_LOG_SLOWDOWN = Math.log(1.05);
    /** Number of standard errors above a negligible slowdown at which this sidecar has evidence of one. */
    private static final double EVIDENCE_STANDARD_ERRORS = 2;
    /** Minimum level of a queue that is reported. */
    private static final double MIN_LEVEL = 0.05;
    /** Number of jobs whose runs are counted, the latest ones. */
    private static final int MAX_COUNTED_JOBS = 256;
    /** Total weight of runs below which a queue is forgotten. */
    private static final double MIN_WEIGHT = 0.5;

    private static final double HUNDREDTHS = 100;

    private final CoRunnerTracker tracker = new CoRunnerTracker();
    private final Map<String, SlowdownEstimator> estimators = new HashMap<>();
    private final Map<String, Integer> runsByJob = new LinkedHashMap<>();

    /** Creates a monitor that has seen no run. */
    public InterferenceMonitor() {}

    /**
     * Records the start of a run.
     *
     * @param run the run
     * @param queue name of its queue
     * @param expectedMilliseconds expected duration on this upstream, in milliseconds
     * @param now time in milliseconds of the monotonic clock
     */
    public void runStarted(RunIdentity run, String queue, long expectedMilliseconds, long now) {
        tracker.start(run, queue, expectedMilliseconds, now);
    }

    /**
     * Records the end of a run; only successful runs are measured.
     *
     * @param run the run
     * @param successful whether the run succeeded
     * @param now time in milliseconds of the monotonic clock
     */
    public void runEnded(RunIdentity run, boolean successful, long now) {
        tracker.finish(run, now).filter(finished -> successful).ifPresent(finished -> {
            // The estimate of a job is off by the same factor for all its tasks, so that they are no independent runs.
            int number = runsByJob.merge(run.task().job(), 1, Integer::sum);
            if (runsByJob.size() > MAX_COUNTED_JOBS) {
                runsByJob.remove(runsByJob.keySet().iterator().next());
            }
            if (estimators.size() < CoRunnerTracker.MAX_QUEUES || estimators.containsKey(finished.queue())) {
                estimators
                        .computeIfAbsent(finished.queue(), SlowdownEstimator::new)
                        .add(finished, 1.0 / number, now);
            }
        });
    }

    /**
     * Removes runs that have ended without notice.
     *
     * @param active all active runs
     * @param now time in milliseconds of the monotonic clock
     */
    public void retainRuns(Collection<RunIdentity> active, long now) {
        tracker.retain(active, now);
    }

    /**
     * Returns the present estimates: those known best, whatever their value, so that the mean over sidecars is
     * unbiased. The levels of queues are included only if there is evidence of a slowdown.
     *
     * @param now time in milliseconds of the monotonic clock
     * @return the report
     */
    public JobFrame.Slowdowns report(long now) {
        estimators.values().removeIf(estimator -> estimator.weight(now) < MIN_WEIGHT);
        List<PairSlowdown> pairs = new ArrayList<>();
        estimators.values().forEach(estimator -> pairs.addAll(estimator.estimates(now)));
        pairs.sort(Comparator.comparingInt(PairSlowdown::standardErrorThousandths)
                .thenComparing(PairSlowdown::queue)
                .thenComparing(PairSlowdown::beside));
        List<PairSlowdown> reported = pairs.subList(0, Math.min(MAX_REPORTED, pairs.size()));
        boolean evidence = reported.stream()
                .anyMatch(pair ->
                        pair.logSlowdown() - EVIDENCE_STANDARD_ERRORS * pair.standardError() > NEGLIGIBLE_LOG_SLOWDOWN);
        return new JobFrame.Slowdowns(reported, evidence ? levels(now) : Map.of());
    }

    private Map<String, Integer> levels(long now) {
        Map<String, Integer> hundredths = new TreeMap<>();
        tracker.levels(now).entrySet().stream()
                .filter(level -> level.getValue() >= MIN_LEVEL)
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(MAX_REPORTED)
                .forEach(level -> hundredths.put(level.getKey(), (int) Math.round(level.getValue() * HUNDREDTHS)));
        return hundredths;
    }
}
