package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.RecentJobs;
import java.util.List;

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

    private final RunRegistry registry;
    private final FinishedRuns finishedRuns;
    private final RecentJobs<Boolean> jobs;

    OverJobs(DecisionLoop loop, RunRegistry registry, FinishedRuns finishedRuns) {
        this.registry = registry;
        this.finishedRuns = finishedRuns;
        this.jobs = new RecentJobs<>(loop, RETENTION_MILLISECONDS, MAXIMUM_JOBS);
    }

    /**
     * Discards the runs of a job that is over. A job that is not stored may have been submitted again meanwhile, so
     * only its runs without an owner are discarded.
     */
    void add(String job) {
        jobs.put(job, true);
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.identity().task().job().equals(job)
                    && (run.isDurable() || run.owner().isEmpty())) {
                finishedRuns.discard(run, "job-over");
            }
        }
    }

    /** Returns whether a dispatched run belongs to a stored job that is over. */
    boolean contains(LocalRun run) {
        return run.isDurable() && jobs.contains(run.identity().task().job());
    }
}
