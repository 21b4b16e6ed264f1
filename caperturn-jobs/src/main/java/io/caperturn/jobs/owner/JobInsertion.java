package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Insertion of new durable jobs into the store, at an entry, a process that accepts jobs. A job that the store holds
 * already is accepted once an entry is known to own it.
 */
final class JobInsertion {
    private final DecisionLoop loop;
    private final JobWriter writer;
    private final String incarnation;
    private final Listener listener;
    private final Map<String, List<Consumer<CallerAnswers.Submission>>> receiversByJob = new HashMap<>();

    JobInsertion(DecisionLoop loop, JobWriter writer, String incarnation, Listener listener) {
        this.loop = loop;
        this.writer = writer;
        this.incarnation = incarnation;
        this.listener = listener;
    }

    /** Listener for the results of insertions. */
    interface Listener {
        /** A new job is stored, and owned by this entry; called before its callers are answered. */
        void jobStored(OwnedJob job);

        /** The callers of a new job have been answered, so its tasks can start. */
        void jobAccepted(OwnedJob job);

        /** The insertion of a job has ended, whatever its outcome, and its callers have been answered. */
        void insertionEnded(String job);

        /**
         * The store holds an unfinished job of that identity already, which an earlier request submitted.
         *
         * @param job identity of the job
         * @param openRecord the stored job
         * @param owned called once an entry is known to own the job, or the job has finished
         * @return false if the stored job is unreadable, so that its owner stays unknown
         */
        boolean storedJobFound(String job, StoredRecord openRecord, Runnable owned);
    }

    /** Returns whether the insertion of a job is in progress. */
    boolean isInProgress(String job) {
        return receiversByJob.containsKey(job);
    }

    /** Answers a further request for a job whose insertion is in progress with the others. */
    void join(String job, Consumer<CallerAnswers.Submission> receiver) {
        receiversByJob.get(job).add(receiver);
    }

    /** Stores a new job whose insertion is not in progress. */
    void insert(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        receiversByJob.put(identity, new ArrayList<>(List.of(receiver)));
        OwnedJob job = new OwnedJob(
                identity, plan, policy, /* generation */ 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        writer.insert(identity, job.toRecord(incarnation), result -> handleResult(job, result));
    }

    private void handleResult(OwnedJob job, JobWriter.Result result) {
        switch (result) {
            case JobWriter.Result.Stored stored -> handleStored(job, stored.version());
            case JobWriter.Result.Conflicted conflicted -> handleConflict(job, conflicted);
            case JobWriter.Result.Refused refused ->
                answer(
                        job.identity(),
                        new CallerAnswers.Submission.Refused(
                                "store-" + refused.reason(),
                                EntryController.FAULT_RETRY_MILLISECONDS,
                                /* overloaded= */ false));
        }
    }

    private void handleStored(OwnedJob job, long version) {
        job.setVersion(version);
        listener.jobStored(job);
        loop.log()
                .event(
                        EventName.ACCEPTED,
                        EventKey.JOB,
                        job.identity(),
                        EventKey.QUEUE,
                        job.policy().name(),
                        EventKey.TASKS,
                        job.tasks().size(),
                        EventKey.VERSION,
                        version,
                        EventKey.TOOK,
                        loop.monotonicMilliseconds() - job.arrivedAt(),
                        EventKey.OBJECTIVE,
                        job.objectiveMilliseconds());
        answer(job.identity(), new CallerAnswers.Submission.Accepted(/* alreadySubmitted= */ false, JobState.QUEUED));
        loop.log().duration("accept", loop.monotonicMilliseconds() - job.arrivedAt());
        listener.jobAccepted(job);
    }

    /**
     * Handles that the store holds the job: the answer to an earlier request was lost, or another entry received that
     * request. If the insert was performed late, the owner that it names may be lost; then nobody would run the job.
     */
    private void handleConflict(OwnedJob job, JobWriter.Result.Conflicted conflicted) {
        boolean open = conflicted.unfinishedRecord() != null;
        loop.log().event(EventName.JOINED, EventKey.JOB, job.identity(), EventKey.OPEN, open);
        Optional<JobState> state = readState(conflicted);
        Runnable accept = () -> answer(
                job.identity(),
                state.isPresent()
                        ? new CallerAnswers.Submission.Accepted(/* alreadySubmitted= */ true, state.get())
                        : new CallerAnswers.Submission.Undecided(StoredJobReader.UNREADABLE));
        if (!open) {
            accept.run();
        } else if (!listener.storedJobFound(job.identity(), conflicted.unfinishedRecord(), accept)) {
            answer(job.identity(), new CallerAnswers.Submission.Undecided(StoredJobReader.UNREADABLE));
        }
    }

    /** Returns the state in the record that the insert met; empty if that is unreadable. */
    private static Optional<JobState> readState(JobWriter.Result.Conflicted conflicted) {
        try {
            return Optional.of(
                    conflicted.unfinishedRecord() == null
                            ? ClosedRecord.of(conflicted.finishedRecord().value())
                                    .state()
                            : JobRecord.decode(conflicted.unfinishedRecord().value())
                                    .state());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void answer(String job, CallerAnswers.Submission answer) {
        List<Consumer<CallerAnswers.Submission>> receivers = receiversByJob.remove(job);
        try {
            receivers.forEach(receiver -> receiver.accept(answer));
        } finally {
            listener.insertionEnded(job);
        }
    }
}
