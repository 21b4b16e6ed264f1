package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Jobs that this entry (process that accepts jobs) owns, in memory and in the store: a durable job is stored before it
 * starts, a transient one never is, and its caller waits until it has finished.
 *
 * <p>A run is one attempt to run a task; a sidecar process reports its completion. Run numbers grow with the generation
 * of a job, which is higher for a later owner of a durable job, and for a later submission of a transient one.
 */
final class OwnedJobRepository {
    /** Maximum time until a completed run is stored with others, in milliseconds: a tenth of the time allowed. */
    private static final long MAX_COMPLETION_DELAY_MILLISECONDS = 300;
    /** Time after which a transient job that is submitted again gets a higher generation, in milliseconds. */
    private static final long TRANSIENT_GENERATION_MILLISECONDS = 250;
    /** Number of generations before they start again at 0, after six days: keeps run numbers within an int. */
    private static final long TRANSIENT_GENERATION_COUNT = 2_000_000;

    private final DecisionLoop loop;
    private final FinishedJobs finishedJobs;
    private final AdoptionWriter adoptions;
    private final JobInsertion insertion;
    private final Listener listener;
    private final OwnedJobWriter writer;
    private final Map<String, OwnedJob> ownedJobs = new HashMap<>();
    /** Jobs that were cancelled while the write that makes this entry their owner was in progress. */
    private final Set<String> jobsToCancelOnceOwned = new HashSet<>();

    private final Map<String, List<Consumer<CallerAnswers.Submission>>> receiversByTransientJob = new HashMap<>();

    OwnedJobRepository(
            DecisionLoop loop,
            JobWriter writer,
            StoreRetryBudget retries,
            EntryParameters parameters,
            StoredJobReader storedJobReader,
            Listener listener) {
        this.loop = loop;
        this.finishedJobs = new FinishedJobs(loop, parameters.finishedJobRetentionMilliseconds());
        this.adoptions = new AdoptionWriter(loop, writer, parameters);
        this.listener = listener;
        JobConflicts conflicts = new JobConflicts(loop, parameters, storedJobReader, retries);
        this.writer = new OwnedJobWriter(loop, writer, parameters, conflicts, new WriteListener());
        this.insertion = new JobInsertion(loop, writer, parameters.incarnation(), new InsertionListener());
    }

    /** Listener for changes of the owned jobs. */
    interface Listener {
        /** A job was accepted (and stored, if it is durable), so its tasks can start. */
        void jobAccepted(OwnedJob job);

        /** A job has finished or is no longer owned here; its remaining runs have to be stopped. */
        void jobFinished(OwnedJob job, JobState state);

        /** Completions are stored, or need not be, so the sidecars that reported them can discard them. */
        void completionsDiscardable(List<OwnedJob.PendingCompletion> completions);

        /**
         * A stored job was found that is unknown here: another entry owns it, or its owner is lost.
         *
         * @param job identity of the job
         * @param openRecord the stored job
         * @param owned called once an entry is known to own the job, or the job has finished
         * @return false if the stored job is unreadable, so that its owner stays unknown
         */
        boolean unownedJobFound(String job, StoredRecord openRecord, Runnable owned);
    }

    Collection<OwnedJob> ownedJobs() {
        return ownedJobs.values();
    }

    /** Returns an owned job, or null if this entry does not own it. */
    OwnedJob find(String job) {
        return ownedJobs.get(job);
    }

    /** Returns the final state of a recently finished job, or null if this entry knows none. */
    JobState findFinalState(String job) {
        return finishedJobs.find(job);
    }

    /** Returns whether the first write of a new job is in progress. */
    boolean isInserting(String job) {
        return insertion.isInProgress(job);
    }

    /** Returns whether the outcome of the adoption of a job is still unknown; the store may have applied it already. */
    boolean isAdopting(String job) {
        return adoptions.isInProgress(job);
    }

    /** Stores a new job; a job that was submitted before is accepted without a change. */
    void submitDurable(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        if (ownedJobs.containsKey(identity) || finishedJobs.contains(identity)) {
            logDuplicateSubmission(identity);
            OwnedJob known = ownedJobs.get(identity);
            receiver.accept(new CallerAnswers.Submission.Accepted(
                    /* alreadySubmitted= */ true, known == null ? finishedJobs.find(identity) : known.state()));
            return;
        }
        if (insertion.isInProgress(identity)) {
            logDuplicateSubmission(identity);
            insertion.join(identity, receiver);
            return;
        }
        insertion.insert(identity, plan, policy, receiver);
    }

    /** Runs a transient job; the receiver gets the answer once the job has finished. */
    void runTransient(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        List<Consumer<CallerAnswers.Submission>> receivers = receiversByTransientJob.get(identity);
        if (receivers != null) {
            logDuplicateSubmission(identity);
            receivers.add(receiver);
            return;
        }
        receiversByTransientJob.put(identity, new ArrayList<>(List.of(receiver)));
        int generation =
                (int) (loop.wallClockMilliseconds() / TRANSIENT_GENERATION_MILLISECONDS % TRANSIENT_GENERATION_COUNT);
        OwnedJob job = new OwnedJob(
                identity, plan, policy, generation, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        ownedJobs.put(identity, job);
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
        listener.jobAccepted(job);
    }

    private void logDuplicateSubmission(String identity) {
        loop.log().event(EventName.JOINED, EventKey.JOB, identity, EventKey.OPEN, !finishedJobs.contains(identity));
    }

    /** Abandons a transient job, for a cause that is logged; does nothing to durable or unknown jobs. */
    void abandon(String identity, String cause) {
        OwnedJob job = ownedJobs.get(identity);
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
            publishFinalState(job, JobState.CANCELLED, List.of());
        }
    }

    /** Abandons all transient jobs. */
    void abandonAll(String cause) {
        for (String identity : List.copyOf(receiversByTransientJob.keySet())) {
            abandon(identity, cause);
        }
    }

    /** Records a completed run of a durable job, to be stored; the sidecar discards others after the next renewal. */
    void recordCompletion(OwnedJob job, RunIdentity run, String sidecar) {
        if (job.plan().durable()) {
            job.addPendingCompletion(new OwnedJob.PendingCompletion(run, sidecar), loop.monotonicMilliseconds());
        }
    }

    /** Remembers the final state of a job that was read from the store; it does not change any more. */
    void rememberFinalState(String job, JobState state) {
        if (!ownedJobs.containsKey(job) && !finishedJobs.contains(job)) {
            finishedJobs.add(job, state);
        }
    }

    /** Stores the progress of a durable job at once, with all completions that are not stored yet. */
    void storeProgress(OwnedJob job) {
        if (job.plan().durable()) {
            job.requireWrite();
            writer.write(job);
        }
    }

    /**
     * Stores this entry as the next owner of a job, in the next generation, which makes the job an owned one.
     *
     * @see AdoptionWriter#adopt
     */
    void adopt(
            String identity,
            long version,
            JobRecord before,
            QueuePolicy policy,
            OwnerStanding.Lost lost,
            Consumer<AdoptionOutcome> receiver) {
        adoptions.adopt(identity, version, before, policy, lost, outcome -> {
            if (outcome instanceof AdoptionOutcome.Adopted adopted) {
                ownedJobs.put(identity, adopted.job());
            }
            receiver.accept(outcome);
            cancelIfRequested(identity);
        });
    }

    /** Cancels a job once this entry owns it, if the write that makes it the owner is in progress. */
    void cancelOnceOwned(String identity) {
        if (isInserting(identity) || isAdopting(identity)) {
            loop.log().event(EventName.CANCEL, EventKey.JOB, identity);
            jobsToCancelOnceOwned.add(identity);
        }
    }

    /** Cancels a job for which that was requested before the outcome of its insertion or adoption was known. */
    private void cancelIfRequested(String identity) {
        boolean ended = !isInserting(identity) && !isAdopting(identity);
        if (ended && jobsToCancelOnceOwned.remove(identity) && ownedJobs.containsKey(identity)) {
            finish(ownedJobs.get(identity), JobState.CANCELLED);
        }
    }

    /** Stops the adoption of jobs, also of those for which it is in progress. */
    void stopAdoptions() {
        adoptions.stop();
    }

    /** Sets the final state of a job, stores it if the job is durable, then reports it to the callers. */
    void finish(OwnedJob job, JobState state) {
        job.decideFinalState(state);
        if (job.plan().durable()) {
            writer.write(job);
        } else {
            publishFinalState(job, job.finalState(), List.of());
        }
    }

    /** Stores completions that have waited for the maximum time, and forgets finished jobs after the retention time. */
    void tick() {
        long pendingBefore = loop.monotonicMilliseconds() - MAX_COMPLETION_DELAY_MILLISECONDS;
        for (OwnedJob job : List.copyOf(ownedJobs.values())) {
            if (job.oldestPendingCompletionAt() <= pendingBefore) {
                writer.write(job);
            }
        }
        finishedJobs.forgetOld();
    }

    /** Abandons transient jobs and forgets all others, because other entries own them now. */
    void clear() {
        abandonAll("entry-resigned");
        ownedJobs.clear();
        writer.stop();
        finishedJobs.clear();
    }

    /** Reports a final state, which is stored if the job is durable, to the listener and to waiting callers. */
    private void publishFinalState(OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions) {
        ownedJobs.remove(job.identity());
        finishedJobs.add(job.identity(), state);
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
        listener.completionsDiscardable(completions);
        listener.completionsDiscardable(job.drainPendingCompletions());
        listener.jobFinished(job, state);
        List<Consumer<CallerAnswers.Submission>> receivers = receiversByTransientJob.remove(job.identity());
        if (receivers != null) {
            CallerAnswers.Submission answer = state == JobState.CANCELLED
                    ? new CallerAnswers.Submission.Abandoned(job.isStarted() || job.hasSentTasks())
                    : new CallerAnswers.Submission.Finished(state);
            receivers.forEach(receiver -> receiver.accept(answer));
        }
    }

    private final class WriteListener implements OwnedJobWriter.Listener {
        @Override
        public void completionsDiscardable(List<OwnedJob.PendingCompletion> completions) {
            listener.completionsDiscardable(completions);
        }

        @Override
        public void finalStateStored(OwnedJob job, JobState state, List<OwnedJob.PendingCompletion> completions) {
            publishFinalState(job, state, completions);
        }

        @Override
        public void jobReleased(OwnedJob job) {
            ownedJobs.remove(job.identity());
            listener.jobFinished(job, JobState.CANCELLED);
        }

        @Override
        public void otherOwnerFound(OwnedJob job, StoredRecord openRecord) {
            listener.unownedJobFound(job.identity(), openRecord, () -> {});
        }

        @Override
        public void finalStateRead(OwnedJob job, JobState state) {
            if (!ownedJobs.containsKey(job.identity())) {
                publishFinalState(job, state, List.of());
            }
        }
    }

    private final class InsertionListener implements JobInsertion.Listener {
        @Override
        public void jobStored(OwnedJob job) {
            ownedJobs.put(job.identity(), job);
        }

        @Override
        public void jobAccepted(OwnedJob job) {
            if (job.finalState() == null) {
                listener.jobAccepted(job);
            }
        }

        @Override
        public void insertionEnded(String job) {
            cancelIfRequested(job);
        }

        @Override
        public boolean storedJobFound(String job, StoredRecord openRecord, Runnable owned) {
            return listener.unownedJobFound(job, openRecord, owned);
        }
    }
}
