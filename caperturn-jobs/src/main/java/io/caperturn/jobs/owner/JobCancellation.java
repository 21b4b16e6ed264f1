package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.util.function.Consumer;

/**
 * Cancellation of jobs on request of a caller, at an entry, a process that accepts jobs. The entry that owns a job
 * sends its tasks to sidecars, the processes beside the upstreams that run tasks.
 *
 * <p>A job that another entry owns is cancelled by closing its stored record (moving it to the table of finished jobs),
 * or, if it is not stored, by a message that asks the other entries to cancel it.
 */
final class JobCancellation {
    /**
     * Interval of the checks whether the final state of a cancelled job is stored, in milliseconds: about as long as a
     * write takes.
     */
    private static final long POLL_MILLISECONDS = 5;

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final OwnedJobRepository jobs;
    private final TaskDispatcher dispatcher;
    private final StoredJobReader storedJobReader;
    private final CancelNotices notices;

    JobCancellation(
            DecisionLoop loop,
            LinkPort links,
            EntryParameters parameters,
            JobWriter writer,
            OwnedJobRepository jobs,
            TaskDispatcher dispatcher,
            ProcessMembership membership,
            StoredJobReader storedJobReader) {
        this.loop = loop;
        this.writer = writer;
        this.jobs = jobs;
        this.dispatcher = dispatcher;
        this.storedJobReader = storedJobReader;
        this.notices = new CancelNotices(loop, links, parameters, membership);
    }

    /**
     * Cancels a job.
     *
     * @param identity the job's identity
     * @param receiver receives the final state of the job once it is stored, or the reason why that is unknown
     */
    void cancel(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        OwnedJob job = jobs.find(identity);
        JobState finalState = jobs.findFinalState(identity);
        if (finalState != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(finalState));
        } else if (job != null) {
            cancelOwned(job, receiver);
        } else {
            storedJobReader.read(identity, (openRecord, answer) -> {
                // The answer is the state before this cancellation, so the caller gets it only if the job is not open.
                if (openRecord == null) {
                    if (answer instanceof CallerAnswers.Lookup.Unknown || isCancelled(answer)) {
                        // A job that is not stored is known only to the entry at which its caller waits, or which
                        // is inserting it. The owner of a cancelled one may not have been told.
                        notices.notifyAll(identity);
                        cancelForPeer(identity);
                    }
                    receiver.accept(answer);
                } else {
                    cancelStored(identity, openRecord, receiver);
                }
            });
        }
    }

    private void cancelOwned(OwnedJob job, Consumer<CallerAnswers.Lookup> receiver) {
        loop.log().event(EventName.CANCEL, EventKey.JOB, job.identity());
        jobs.finish(job, JobState.CANCELLED);
        dispatcher.stopAllRuns(job);
        awaitClosed(job.identity(), receiver);
    }

    private void awaitClosed(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        JobState finalState = jobs.findFinalState(identity);
        if (finalState != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(finalState));
        } else if (jobs.find(identity) == null) {
            cancel(identity, receiver); // the store tells who owns the job, or that it is closed
        } else {
            loop.after(POLL_MILLISECONDS, () -> awaitClosed(identity, receiver));
        }
    }

    private void cancelStored(String identity, StoredRecord openRecord, Consumer<CallerAnswers.Lookup> receiver) {
        ClosedRecord closedRecord = new ClosedRecord(JobState.CANCELLED, loop.wallClockMilliseconds());
        writer.close(identity, openRecord.version(), closedRecord, result -> {
            if (result instanceof JobWriter.Result.Stored) {
                handleClosed(identity, openRecord);
                receiver.accept(new CallerAnswers.Lookup.Found(JobState.CANCELLED));
            } else if (result instanceof JobWriter.Result.Conflicted conflicted
                    && conflicted.unfinishedRecord() != null) {
                cancelStored(identity, conflicted.unfinishedRecord(), receiver);
            } else {
                // The job has finished, or the answer to an earlier attempt of this write was lost.
                storedJobReader.read(identity, (stored, answer) -> {
                    if (isCancelled(answer)) {
                        handleClosed(identity, openRecord);
                    }
                    receiver.accept(answer);
                });
            }
        });
    }

    /** Handles that a job is closed in the store as cancelled; tells the owner that its last open record names. */
    private void handleClosed(String identity, StoredRecord lastOpenRecord) {
        loop.log()
                .event(EventName.CANCELLED_FOREIGN, EventKey.JOB, identity, EventKey.VERSION, lastOpenRecord.version());
        storedJobReader.ownerOf(lastOpenRecord).ifPresent(owner -> notices.notifyOwner(identity, owner));
        cancelForPeer(identity); // this entry may have adopted the job meanwhile
    }

    private static boolean isCancelled(CallerAnswers.Lookup answer) {
        return answer.equals(new CallerAnswers.Lookup.Found(JobState.CANCELLED));
    }

    /** Cancels a job on behalf of another entry, if this entry owns it or is about to. */
    void cancelForPeer(String identity) {
        OwnedJob job = jobs.find(identity);
        if (job != null) {
            loop.log().event(EventName.CANCEL, EventKey.JOB, identity);
            jobs.finish(job, JobState.CANCELLED);
            dispatcher.stopAllRuns(job);
        } else {
            jobs.cancelOnceOwned(identity);
        }
    }

    /** Returns the notices to the entries that may own cancelled jobs. */
    CancelNotices notices() {
        return notices;
    }
}
