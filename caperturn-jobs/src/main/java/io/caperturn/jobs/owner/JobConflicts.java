package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;

/** Conflicts of this entry's writes of stored jobs with those of other entries (processes that accept jobs). */
final class JobConflicts {
    private final DecisionLoop loop;

    JobConflicts(DecisionLoop loop) {
        this.loop = loop;
    }

    /** Logs what a refused write of a job met, and which state is shown if the job is not open any more. */
    void log(OwnedJob job, JobState stateIfClosed, JobWriter.Result.Conflicted conflicted) {
        boolean open = conflicted.unfinishedRecord() != null;
        loop.log()
                .event(
                        EventName.JOB_CONFLICT,
                        EventKey.JOB,
                        job.identity(),
                        EventKey.VERSION,
                        job.version(),
                        EventKey.OPEN,
                        open,
                        EventKey.STORED,
                        open ? conflicted.unfinishedRecord().version() : 0,
                        EventKey.OUTCOME,
                        job.finalState() == null ? "" : job.finalState(),
                        EventKey.STATE,
                        open ? "" : stateIfClosed);
    }
}
