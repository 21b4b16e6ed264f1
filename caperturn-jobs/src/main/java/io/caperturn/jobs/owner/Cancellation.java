package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.util.function.Consumer;

/** Cancellation of jobs, whoever owns them. */
final class Cancellation {
    /** Interval of the look whether the end of a job is stored, in milliseconds: the time that a write takes. */
    private static final long LOOK_MILLISECONDS = 5;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters settings;
    private final JobWriter writer;
    private final JobKeeper jobs;
    private final Dispatcher dispatcher;
    private final Membership membership;
    private final StoredJobs stored;

    Cancellation(
            DecisionLoop loop,
            LinkPort links,
            EntryParameters settings,
            JobWriter writer,
            JobKeeper jobs,
            Dispatcher dispatcher,
            Membership membership,
            StoredJobs stored) {
        this.loop = loop;
        this.links = links;
        this.settings = settings;
        this.writer = writer;
        this.jobs = jobs;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.stored = stored;
    }

    void cancel(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        OwnedJob job = jobs.find(identity);
        JobState closed = jobs.closedState(identity);
        if (closed != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(closed));
        } else if (job != null) {
            cancelOwned(job, receiver);
        } else {
            stored.read(identity, (open, answer) -> {
                if (open == null) {
                    if (answer instanceof CallerAnswers.Lookup.Unknown) {
                        // A job that is not stored is known only to the entry at which its caller waits.
                        tellOthers(identity);
                    }
                    receiver.accept(answer);
                } else {
                    cancelForeign(identity, open, receiver);
                }
            });
        }
    }

    private void cancelOwned(OwnedJob job, Consumer<CallerAnswers.Lookup> receiver) {
        loop.log().event(EventName.CANCEL, EventKey.JOB, job.identity());
        jobs.finish(job, JobState.CANCELLED);
        dispatcher.withdrawAll(job);
        awaitClosed(job.identity(), receiver);
    }

    private void awaitClosed(String identity, Consumer<CallerAnswers.Lookup> receiver) {
        JobState closed = jobs.closedState(identity);
        if (closed != null) {
            receiver.accept(new CallerAnswers.Lookup.Found(closed));
        } else if (jobs.find(identity) == null) {
            receiver.accept(new CallerAnswers.Lookup.Unavailable("owner-changed"));
        } else {
            loop.after(LOOK_MILLISECONDS, () -> awaitClosed(identity, receiver));
        }
    }

    private void tellOthers(String identity) {
        membership.of(ProcessRole.ENTRY).stream()
                .filter(member -> !member.incarnation().equals(settings.incarnation()))
                .forEach(member -> links.send(member.incarnation(), new JobFrame.CancelJob(identity)));
    }

    private void cancelForeign(String identity, StoredRecord open, Consumer<CallerAnswers.Lookup> receiver) {
        ClosedRecord end = new ClosedRecord(JobState.CANCELLED, loop.wallClockMilliseconds());
        writer.close(identity, open.version(), end, result -> {
            if (result instanceof JobWriter.Result.Stored) {
                loop.log().event(EventName.CANCELLED_FOREIGN, EventKey.JOB, identity, EventKey.VERSION, open.version());
                tellOthers(identity);
                receiver.accept(new CallerAnswers.Lookup.Found(JobState.CANCELLED));
            } else if (result instanceof JobWriter.Result.Conflicted overtaken && overtaken.open() != null) {
                cancelForeign(identity, overtaken.open(), receiver);
            } else {
                stored.read(identity, (stored, answer) -> receiver.accept(answer));
            }
        });
    }
}
