package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.util.List;

/**
 * Writer of the stored jobs that this entry (process that accepts jobs) owns: of their progress, and of their final
 * state. A write meets the record of another entry if that has adopted the job, or has closed it, which means that it
 * has moved the record to the table of finished jobs.
 */
final class OwnedJobWriter {
    private final DecisionLoop loop;
    private final JobWriter writer;
    private final String incarnation;
    private final JobConflicts conflicts;
    private final Listener listener;

    OwnedJobWriter(
            DecisionLoop loop,
            JobWriter writer,
            EntryParameters parameters,
            JobConflicts conflicts,
            Listener listener) {
        this.loop = loop;
        this.writer = writer;
        this.incarnation = parameters.incarnation();
        this.conflicts = conflicts;
        this.listener = listener;
    }

    /** Listener for the outcomes of writes. */
    interface Listener {
        /** Completions are stored, or need not be. */
        void completionsDiscardable(List<OwnedJob.PendingCompletion> completions);

        /** The final state that this entry decided is stored, with the completions. */
        void finalStateStored(OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions);

        /** The job is not owned here any more; its state is what the store tells. */
        void jobReleased(OwnedJob job);

        /** The released job has another owner, or had one that is lost. */
        void otherOwnerFound(OwnedJob job, StoredRecord openRecord);

        /** The released job is closed, and its final state has been read. */
        void finalStateRead(OwnedJob job, JobState state);
    }

    /** Writes a job, unless a write of it is in progress, after which it is written if that is required. */
    void write(OwnedJob job) {
        if (job.isWriting()) {
            return;
        }
        job.clearWriteRequirement();
        List<OwnedJob.PendingCompletion> completions = job.drainPendingCompletions();
        job.setWriting(true);
        JobState state = job.finalState();
        if (state != null) {
            ClosedRecord closedRecord = new ClosedRecord(state, loop.wallClockMilliseconds());
            writer.close(
                    job.identity(),
                    job.version(),
                    closedRecord,
                    result -> handleCloseResult(job, state, completions, result));
        } else {
            writer.update(
                    job.identity(),
                    job.version(),
                    job.toRecord(incarnation),
                    result -> handleUpdateResult(job, completions, result));
        }
    }

    private void handleUpdateResult(
            OwnedJob job, List<OwnedJob.PendingCompletion> completions, JobWriter.Result result) {
        job.setWriting(false);
        switch (result) {
            case JobWriter.Result.Stored stored -> {
                job.setVersion(stored.version());
                listener.completionsDiscardable(completions);
                if (job.finalState() != null || job.isWriteRequired()) {
                    write(job);
                }
            }
            case JobWriter.Result.Conflicted conflicted -> handleConflict(job, completions, conflicted);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only job inserts can be refused");
        }
    }

    private void handleCloseResult(
            OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions, JobWriter.Result result) {
        job.setWriting(false);
        switch (result) {
            case JobWriter.Result.Stored stored -> listener.finalStateStored(job, state, completions);
            case JobWriter.Result.Conflicted conflicted -> handleConflict(job, completions, conflicted);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only job inserts can be refused");
        }
    }

    /**
     * Handles a refused write: the job is another entry's by now, or closed in a state that has to be read. Until that
     * is known, callers are told what the store holds.
     */
    private void handleConflict(
            OwnedJob job, List<OwnedJob.PendingCompletion> completions, JobWriter.Result.Conflicted conflicted) {
        switch (conflicts.assess(job, conflicted)) {
            case JobConflict.OwnRecord own -> {
                job.setVersion(own.version());
                completions.forEach(completion -> job.addPendingCompletion(completion, loop.monotonicMilliseconds()));
                write(job);
            }
            case JobConflict.OtherOwner other -> {
                release(job);
                listener.otherOwnerFound(job, other.openRecord());
            }
            case JobConflict.Closed closed -> {
                release(job);
                listener.completionsDiscardable(completions);
                listener.completionsDiscardable(job.drainPendingCompletions());
                conflicts.readFinalState(job.identity(), state -> listener.finalStateRead(job, state));
            }
        }
    }

    private void release(OwnedJob job) {
        loop.log().event(EventName.JOB_LOST, EventKey.JOB, job.identity(), EventKey.VERSION, job.version());
        listener.jobReleased(job);
    }

    /** Stops reading the final states of released jobs, because other entries own all jobs from now on. */
    void stop() {
        conflicts.clear();
    }
}
