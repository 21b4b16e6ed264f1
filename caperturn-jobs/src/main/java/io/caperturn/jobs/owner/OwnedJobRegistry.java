package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Registry of the jobs that this entry owns; stores their progress and final states. */
final class OwnedJobRegistry {
    /** Maximum wait of a completion to be stored with others, in milliseconds: a tenth of the permitted delay. */
    private static final long COMPLETION_BATCH_MILLISECONDS = 300;
    /**
     * Period after which jobs that are not stored start with a new generation, in milliseconds: such a job gets higher
     * run numbers than before if it is submitted again in a later period.
     */
    private static final long TRANSIENT_GENERATION_MILLISECONDS = 250;
    /**
     * Number of generations of jobs that are not stored, after which they start again at 0: keeps run numbers within an
     * int, and lasts for six days.
     */
    private static final long TRANSIENT_GENERATION_COUNT = 2_000_000;

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final String incarnation;
    private final long closedRetentionMilliseconds;
    private final Listener listener;
    private final Map<String, OwnedJob> owned = new HashMap<>();
    private final Map<String, List<Consumer<CallerAnswers.Submission>>> insertReceivers = new HashMap<>();
    private final Map<String, Closed> closed = new LinkedHashMap<>();
    private final Map<String, List<Consumer<CallerAnswers.Submission>>> transientCallers = new HashMap<>();

    OwnedJobRegistry(DecisionLoop loop, JobWriter writer, EntryParameters parameters, Listener listener) {
        this.loop = loop;
        this.writer = writer;
        this.incarnation = parameters.incarnation();
        this.closedRetentionMilliseconds = parameters.closedRetentionMilliseconds();
        this.listener = listener;
    }

    private record Closed(JobState state, long closedAt) {}

    /** Receiver of changes of jobs. */
    interface Listener {
        /** A job was accepted (stored, if it is durable), and its tasks may start. */
        void accepted(OwnedJob job);

        /** A job has finished or is no longer owned here; its remaining runs have to be stopped. */
        void finished(OwnedJob job, JobState state);

        /** Completions are stored, or need not be, and the sidecars may forget them. */
        void completionsSettled(List<OwnedJob.PendingCompletion> completions);

        /**
         * A stored job was found that is not owned here: its owner is another entry, or this entry did not know of it.
         */
        void unownedJobFound(String job, StoredRecord open);
    }

    Collection<OwnedJob> owned() {
        return owned.values();
    }

    OwnedJob find(String job) {
        return owned.get(job);
    }

    /** Returns the final state of a recently finished job, or null if this entry knows none. */
    JobState closedState(String job) {
        Closed found = closed.get(job);
        return found == null ? null : found.state();
    }

    /** Returns whether the first write of a new job is in progress. */
    boolean isInserting(String job) {
        return insertReceivers.containsKey(job);
    }

    void submit(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        if (owned.containsKey(identity) || closed.containsKey(identity)) {
            logJoined(identity);
            receiver.accept(new CallerAnswers.Submission.Accepted(true));
            return;
        }
        List<Consumer<CallerAnswers.Submission>> waiting = insertReceivers.get(identity);
        if (waiting != null) {
            logJoined(identity);
            waiting.add(receiver);
            return;
        }
        insertReceivers.put(identity, new ArrayList<>(List.of(receiver)));
        OwnedJob job =
                new OwnedJob(identity, plan, policy, 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        writer.insert(identity, job.toRecord(incarnation), result -> handleInsertResult(job, result));
    }

    /** Runs a job that is not stored; the caller waits until it has finished. */
    void runTransient(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        List<Consumer<CallerAnswers.Submission>> waiting = transientCallers.get(identity);
        if (waiting != null) {
            logJoined(identity);
            waiting.add(receiver);
            return;
        }
        transientCallers.put(identity, new ArrayList<>(List.of(receiver)));
        int generation =
                (int) (loop.wallClockMilliseconds() / TRANSIENT_GENERATION_MILLISECONDS % TRANSIENT_GENERATION_COUNT);
        OwnedJob job = new OwnedJob(
                identity, plan, policy, generation, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        owned.put(identity, job);
        loop.log()
                .event(
                        EventName.TAKEN,
                        EventKey.JOB,
                        identity,
                        EventKey.QUEUE,
                        policy.name(),
                        EventKey.TASKS,
                        job.tasks().size(),
                        EventKey.OBJECTIVE,
                        job.objectiveMilliseconds());
        listener.accepted(job);
    }

    private void logJoined(String identity) {
        loop.log().event(EventName.JOINED, EventKey.JOB, identity, EventKey.OPEN, !closed.containsKey(identity));
    }

    /** Abandons a job that is not stored: its caller has disconnected, or cannot wait any longer. */
    void abandon(String identity, String cause) {
        OwnedJob job = owned.get(identity);
        if (job != null && !job.plan().durable()) {
            loop.log()
                    .event(
                            EventName.ABANDONED,
                            EventKey.JOB,
                            identity,
                            EventKey.CAUSE,
                            cause,
                            EventKey.AFTER,
                            loop.monotonicMilliseconds() - job.arrivedAt());
            loop.log().count("abandoned-" + cause);
            job.decideFinalState(JobState.CANCELLED);
            publishFinished(job, JobState.CANCELLED, List.of());
        }
    }

    /** Abandons all jobs that are not stored. */
    void abandonAll(String cause) {
        for (String identity : List.copyOf(transientCallers.keySet())) {
            abandon(identity, cause);
        }
    }

    /** Records a success or failure; confirms it to the sidecar once stored, or at once if the job is not stored. */
    void recordCompletion(OwnedJob job, RunIdentity run, String sidecar) {
        if (job.plan().durable()) {
            job.addPendingCompletion(run, sidecar, loop.monotonicMilliseconds());
        } else {
            listener.completionsSettled(List.of(new OwnedJob.PendingCompletion(run, sidecar)));
        }
    }

    private void handleInsertResult(OwnedJob job, JobWriter.Result result) {
        CallerAnswers.Submission answer = switch (result) {
            case JobWriter.Result.Stored stored -> {
                job.setVersion(stored.version());
                owned.put(job.identity(), job);
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
                                stored.version(),
                                EventKey.TOOK,
                                loop.monotonicMilliseconds() - job.arrivedAt(),
                                EventKey.OBJECTIVE,
                                job.objectiveMilliseconds());
                yield new CallerAnswers.Submission.Accepted(false);
            }
            case JobWriter.Result.Conflicted conflicted -> {
                loop.log()
                        .event(
                                EventName.JOINED,
                                EventKey.JOB,
                                job.identity(),
                                EventKey.OPEN,
                                conflicted.open() != null);
                if (conflicted.open() != null) {
                    listener.unownedJobFound(job.identity(), conflicted.open());
                }
                yield new CallerAnswers.Submission.Accepted(true);
            }
            case JobWriter.Result.Refused refused ->
                new CallerAnswers.Submission.Refused(
                        "store-" + refused.reason(), EntryController.FAULT_RETRY_MILLISECONDS, false);
        };
        insertReceivers.remove(job.identity()).forEach(receiver -> receiver.accept(answer));
        if (result instanceof JobWriter.Result.Stored) {
            loop.log().duration("accept", loop.monotonicMilliseconds() - job.arrivedAt());
            listener.accepted(job);
        }
    }

    /** Stores this entry as the next owner of a job, under the next generation; calls the receiver if that succeeds. */
    void adopt(String identity, long version, JobRecord before, QueuePolicy policy, Consumer<OwnedJob> receiver) {
        JobRecord after = new JobRecord(
                incarnation,
                before.generation() + 1,
                before.plan(),
                policy,
                before.acceptedMilliseconds(),
                before.started(),
                before.progress());
        writer.update(identity, version, after, result -> {
            if (result instanceof JobWriter.Result.Stored stored && !owned.containsKey(identity)) {
                long age = Math.max(0, loop.wallClockMilliseconds() - before.acceptedMilliseconds());
                OwnedJob job = OwnedJob.restore(
                        identity,
                        after,
                        policy,
                        loop.monotonicMilliseconds() - Math.min(age, closedRetentionMilliseconds));
                job.setVersion(stored.version());
                owned.put(identity, job);
                loop.log()
                        .event(
                                EventName.ADOPTED,
                                EventKey.JOB,
                                identity,
                                EventKey.FROM,
                                before.owner(),
                                EventKey.GENERATION,
                                after.generation(),
                                EventKey.VERSION,
                                stored.version());
                loop.log().count("adopted");
                receiver.accept(job);
            }
        });
    }

    /** Stores the final state of a job, then reports it to the callers. */
    void finish(OwnedJob job, JobState state) {
        job.decideFinalState(state);
        if (job.plan().durable()) {
            write(job);
        } else {
            publishFinished(job, job.finalState(), List.of());
        }
    }

    /** Stores completions that have waited long enough, and forgets finished jobs after the retention time. */
    void tick() {
        long pendingBefore = loop.monotonicMilliseconds() - COMPLETION_BATCH_MILLISECONDS;
        for (OwnedJob job : List.copyOf(owned.values())) {
            if (job.oldestPendingSince() <= pendingBefore) {
                write(job);
            }
        }
        long expiredBefore = loop.monotonicMilliseconds() - closedRetentionMilliseconds;
        Iterator<Closed> oldest = closed.values().iterator();
        while (oldest.hasNext() && oldest.next().closedAt() < expiredBefore) {
            oldest.remove();
        }
    }

    /** Forgets all jobs, because other entries own them now. */
    void clear() {
        abandonAll("entry-resigned");
        owned.clear();
        closed.clear();
    }

    private void write(OwnedJob job) {
        if (job.isWriting()) {
            return;
        }
        List<OwnedJob.PendingCompletion> completions = job.takePendingCompletions();
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
                listener.completionsSettled(completions);
                if (job.finalState() != null) {
                    write(job);
                }
            }
            case JobWriter.Result.Conflicted conflicted ->
                handleConflict(job, JobState.CANCELLED, completions, conflicted);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only a new job is refused");
        }
    }

    private void handleCloseResult(
            OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions, JobWriter.Result result) {
        job.setWriting(false);
        switch (result) {
            case JobWriter.Result.Stored stored -> publishFinished(job, state, completions);
            case JobWriter.Result.Conflicted conflicted -> handleConflict(job, state, completions, conflicted);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only a new job is refused");
        }
    }

    /** Handles a write that failed because another entry changed the record: it has cancelled or adopted the job. */
    private void handleConflict(
            OwnedJob job,
            JobState state,
            List<OwnedJob.PendingCompletion> completions,
            JobWriter.Result.Conflicted conflicted) {
        if (conflicted.open() == null) {
            publishFinished(job, state, completions);
            return;
        }
        loop.log()
                .event(
                        EventName.JOB_LOST,
                        EventKey.JOB,
                        job.identity(),
                        EventKey.VERSION,
                        job.version(),
                        EventKey.STORED,
                        conflicted.open().version());
        owned.remove(job.identity());
        listener.finished(job, JobState.CANCELLED);
        listener.unownedJobFound(job.identity(), conflicted.open());
    }

    /** Reports a final state that is stored, or need not be, to the listener and to waiting callers. */
    private void publishFinished(OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions) {
        owned.remove(job.identity());
        closed.put(job.identity(), new Closed(state, loop.monotonicMilliseconds()));
        loop.log()
                .event(
                        EventName.SHOWN,
                        EventKey.JOB,
                        job.identity(),
                        EventKey.QUEUE,
                        job.policy().name(),
                        EventKey.STATE,
                        state,
                        EventKey.AFTER,
                        loop.monotonicMilliseconds() - job.arrivedAt(),
                        EventKey.OBJECTIVE,
                        job.objectiveMilliseconds());
        loop.log().count("shown-" + state);
        loop.log().duration("job", loop.monotonicMilliseconds() - job.arrivedAt());
        job.decideFinalState(state);
        listener.completionsSettled(completions);
        listener.completionsSettled(job.takePendingCompletions());
        listener.finished(job, state);
        List<Consumer<CallerAnswers.Submission>> waiting = transientCallers.remove(job.identity());
        if (waiting != null) {
            CallerAnswers.Submission answer = state == JobState.CANCELLED
                    ? new CallerAnswers.Submission.Abandoned(job.isStarted() || job.wasSent())
                    : new CallerAnswers.Submission.Finished(state);
            waiting.forEach(receiver -> receiver.accept(answer));
        }
    }
}
