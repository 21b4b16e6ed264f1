package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stored jobs of which an entry (process that accepts jobs) has told a sidecar that they are over: their runs are
 * stopped, whichever entry owns them, and no further run of them is accepted for a while. An owner that was out of
 * touch may not know yet that its job was cancelled.
 */
final class OverJobs {
    /** Time for which further runs are refused, in milliseconds: an owner that is out of touch for longer is lost. */
    private static final long RETENTION_MILLISECONDS = 15_000;
    /** Maximum number of jobs that are remembered; the earliest are forgotten. */
    private static final int MAXIMUM_JOBS = 10_000;

    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final FinishedRuns finishedRuns;
    /** When each job was last told to be over, in milliseconds of the loop's clock, in the order of the first time. */
    private final Map<String, Long> toldAtByJob = new LinkedHashMap<>();

    OverJobs(DecisionLoop loop, RunRegistry registry, FinishedRuns finishedRuns) {
        this.loop = loop;
        this.registry = registry;
        this.finishedRuns = finishedRuns;
    }

    /**
     * Discards the runs of a job that is over. A job that is not stored may have been submitted again meanwhile, so
     * only its runs without an owner are discarded.
     */
    void add(String job) {
        forgetOld();
        toldAtByJob.put(job, loop.monotonicMilliseconds());
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.identity().task().job().equals(job)
                    && (run.isDurable() || run.owner().isEmpty())) {
                finishedRuns.discard(run, "job-over");
            }
        }
    }

    /** Returns whether a dispatched run belongs to a stored job that is over. */
    boolean contains(LocalRun run) {
        forgetOld();
        return run.isDurable() && toldAtByJob.containsKey(run.identity().task().job());
    }

    private void forgetOld() {
        long toldBefore = loop.monotonicMilliseconds() - RETENTION_MILLISECONDS;
        Iterator<Long> oldest = toldAtByJob.values().iterator();
        int excess = toldAtByJob.size() - MAXIMUM_JOBS;
        while (oldest.hasNext() && (oldest.next() < toldBefore || excess > 0)) {
            oldest.remove();
            excess--;
        }
    }
}
