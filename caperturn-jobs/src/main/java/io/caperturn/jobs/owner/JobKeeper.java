package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
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

/** Keeper of the jobs that this entry owns, and of what is stored of them. */
final class JobKeeper {
    /** Longest time that a lasting end waits to be stored with others, in milliseconds: a tenth of what is allowed. */
    private static final long PROGRESS_MILLISECONDS = 300;
    /** Time after which a job that is sent again gets higher run numbers than before, in milliseconds. */
    private static final long TRANSIENT_GENERATION_MILLISECONDS = 250;
    /** Number of such generations before they begin anew: run numbers stay within an integer, for six days. */
    private static final long TRANSIENT_GENERATIONS = 2_000_000;

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final String incarnation;
    private final long keepMilliseconds;
    private final Listener listener;
    private final Map<String, OwnedJob> owned = new HashMap<>();
    private final Map<String, List<Consumer<CallerAnswers.Submission>>> inserting = new HashMap<>();
    private final Map<String, Closed> closed = new LinkedHashMap<>();
    private final Map<String, List<Consumer<CallerAnswers.Submission>>> callers = new HashMap<>();

    JobKeeper(DecisionLoop loop, JobWriter writer, EntryParameters settings, Listener listener) {
        this.loop = loop;
        this.writer = writer;
        this.incarnation = settings.incarnation();
        this.keepMilliseconds = settings.closedRetentionMilliseconds();
        this.listener = listener;
    }

    private record Closed(JobState state, long at) {}

    /** Receiver of what becomes of jobs. */
    interface Listener {
        /** A job is stored, and its tasks may start. */
        void stored(OwnedJob job);

        /** A job is over; what is left of it has to be stopped. */
        void over(OwnedJob job, JobState state);

        /** Lasting ends are stored. */
        void settled(List<OwnedJob.PendingEnd> ends);

        /** A job was found stored in this entry's name that it doesn't know, or belongs to another entry. */
        void foreign(String job, StoredRecord open);
    }

    Collection<OwnedJob> owned() {
        return owned.values();
    }

    OwnedJob find(String job) {
        return owned.get(job);
    }

    JobState closedState(String job) {
        Closed found = closed.get(job);
        return found == null ? null : found.state();
    }

    boolean isInserting(String job) {
        return inserting.containsKey(job);
    }

    void submit(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        if (owned.containsKey(identity) || closed.containsKey(identity)) {
            joined(identity);
            receiver.accept(new CallerAnswers.Submission.Accepted(true));
            return;
        }
        List<Consumer<CallerAnswers.Submission>> waiting = inserting.get(identity);
        if (waiting != null) {
            joined(identity);
            waiting.add(receiver);
            return;
        }
        inserting.put(identity, new ArrayList<>(List.of(receiver)));
        OwnedJob job = new OwnedJob(identity, plan, policy, 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        writer.insert(identity, job.toRecord(incarnation), result -> inserted(job, result));
    }

    /** Runs a job that is not stored; the caller waits for its end. */
    void runTransient(String identity, JobPlan plan, QueuePolicy policy, Consumer<CallerAnswers.Submission> receiver) {
        List<Consumer<CallerAnswers.Submission>> waiting = callers.get(identity);
        if (waiting != null) {
            joined(identity);
            waiting.add(receiver);
            return;
        }
        callers.put(identity, new ArrayList<>(List.of(receiver)));
        int generation = (int) (loop.wallClockMilliseconds() / TRANSIENT_GENERATION_MILLISECONDS % TRANSIENT_GENERATIONS);
        OwnedJob job = new OwnedJob(identity, plan, policy, generation, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
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
                        job.objective());
        listener.stored(job);
    }

    private void joined(String identity) {
        loop.log().event(EventName.JOINED, EventKey.JOB, identity, EventKey.OPEN, !closed.containsKey(identity));
    }

    /** Gives up a job that is not stored: its caller has gone, or can't wait any longer. */
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
            job.want(JobState.CANCELLED);
            close(job, JobState.CANCELLED, List.of());
        }
    }

    /** Gives up all jobs that are not stored. */
    void abandonAll(String cause) {
        for (String identity : List.copyOf(callers.keySet())) {
            abandon(identity, cause);
        }
    }

    /** Takes a lasting end of a run: it is stored with the job, or counts at once where nothing is stored. */
    void ended(OwnedJob job, RunIdentity run, String sidecar) {
        if (job.plan().durable()) {
            job.addEnd(run, sidecar, loop.monotonicMilliseconds());
        } else {
            listener.settled(List.of(new OwnedJob.PendingEnd(run, sidecar)));
        }
    }

    private void inserted(OwnedJob job, JobWriter.Result result) {
        CallerAnswers.Submission answer = switch (result) {
            case JobWriter.Result.Stored stored -> {
                job.version(stored.version());
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
                                job.objective());
                yield new CallerAnswers.Submission.Accepted(false);
            }
            case JobWriter.Result.Conflicted overtaken -> {
                loop.log()
                        .event(EventName.JOINED, EventKey.JOB, job.identity(), EventKey.OPEN, overtaken.open() != null);
                if (overtaken.open() != null) {
                    listener.foreign(job.identity(), overtaken.open());
                }
                yield new CallerAnswers.Submission.Accepted(true);
            }
            case JobWriter.Result.Refused refused ->
                new CallerAnswers.Submission.Refused("store-" + refused.reason(), EntryController.FAULT_RETRY_MILLISECONDS, false);
        };
        inserting.remove(job.identity()).forEach(receiver -> receiver.accept(answer));
        if (result instanceof JobWriter.Result.Stored) {
            loop.log().duration("accept", loop.monotonicMilliseconds() - job.arrivedAt());
            listener.stored(job);
        }
    }

    /** Takes a job that was stored by an earlier owner, under a new generation. */
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
                OwnedJob job = OwnedJob.restore(identity, after, policy, loop.monotonicMilliseconds() - Math.min(age, keepMilliseconds));
                job.version(stored.version());
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

    /** Stores how a job ends, then shows it. */
    void finish(OwnedJob job, JobState state) {
        job.want(state);
        if (job.plan().durable()) {
            advance(job);
        } else {
            close(job, job.wanted(), List.of());
        }
    }

    /** Stores ends that have waited long enough. */
    void tick() {
        long due = loop.monotonicMilliseconds() - PROGRESS_MILLISECONDS;
        for (OwnedJob job : List.copyOf(owned.values())) {
            if (job.dirtySince() <= due) {
                advance(job);
            }
        }
        long forgotten = loop.monotonicMilliseconds() - keepMilliseconds;
        Iterator<Closed> oldest = closed.values().iterator();
        while (oldest.hasNext() && oldest.next().at() < forgotten) {
            oldest.remove();
        }
    }

    /** Forgets everything, because this entry's jobs belong to others now. */
    void clear() {
        abandonAll("entry-resigned");
        owned.clear();
        closed.clear();
    }

    private void advance(OwnedJob job) {
        if (job.isWriting()) {
            return;
        }
        List<OwnedJob.PendingEnd> ends = job.takeEnds();
        job.writing(true);
        JobState state = job.wanted();
        if (state != null) {
            ClosedRecord end = new ClosedRecord(state, loop.wallClockMilliseconds());
            writer.close(job.identity(), job.version(), end, result -> closed(job, state, ends, result));
        } else {
            writer.update(
                    job.identity(), job.version(), job.toRecord(incarnation), result -> updated(job, ends, result));
        }
    }

    private void updated(OwnedJob job, List<OwnedJob.PendingEnd> ends, JobWriter.Result result) {
        job.writing(false);
        switch (result) {
            case JobWriter.Result.Stored stored -> {
                job.version(stored.version());
                listener.settled(ends);
                if (job.wanted() != null) {
                    advance(job);
                }
            }
            case JobWriter.Result.Conflicted overtaken -> overtaken(job, JobState.CANCELLED, ends, overtaken);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only a new job is refused");
        }
    }

    private void closed(OwnedJob job, JobState state, List<OwnedJob.PendingEnd> ends, JobWriter.Result result) {
        job.writing(false);
        switch (result) {
            case JobWriter.Result.Stored stored -> close(job, state, ends);
            case JobWriter.Result.Conflicted overtaken -> overtaken(job, state, ends, overtaken);
            case JobWriter.Result.Refused refused -> throw new IllegalStateException("only a new job is refused");
        }
    }

    /** Handles a write that came after another's: the job was cancelled elsewhere, or has another owner. */
    private void overtaken(
            OwnedJob job, JobState state, List<OwnedJob.PendingEnd> ends, JobWriter.Result.Conflicted overtaken) {
        if (overtaken.open() == null) {
            close(job, state, ends);
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
                        overtaken.open().version());
        owned.remove(job.identity());
        listener.over(job, JobState.CANCELLED);
        listener.foreign(job.identity(), overtaken.open());
    }

    private void close(OwnedJob job, JobState state, List<OwnedJob.PendingEnd> ends) {
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
                        job.objective());
        loop.log().count("shown-" + state);
        loop.log().duration("job", loop.monotonicMilliseconds() - job.arrivedAt());
        job.want(state);
        listener.settled(ends);
        listener.settled(job.takeEnds());
        listener.over(job, state);
        List<Consumer<CallerAnswers.Submission>> waiting = callers.remove(job.identity());
        if (waiting != null) {
            CallerAnswers.Submission answer = state == JobState.CANCELLED
                    ? new CallerAnswers.Submission.Abandoned(job.isStarted() || job.wasSent())
                    : new CallerAnswers.Submission.Finished(state);
            waiting.forEach(receiver -> receiver.accept(answer));
        }
    }
}
