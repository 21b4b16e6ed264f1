package io.caperturn.jobs.owner;

import io.caperturn.jobs.Loop;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.record.JobWriter;

/** Decision whether a new job is taken: it is refused at once if it can't be stored, run, or ended in time. */
final class Admission {
    /** A job is taken if it is expected to end within this multiple of its objective: estimates are off by half. */
    private static final double OBJECTIVE_FACTOR = 1.5;

    private final Loop loop;
    private final JobWriter writer;
    private final Dispatcher dispatcher;
    private final Membership membership;

    Admission(Loop loop, JobWriter writer, Dispatcher dispatcher, Membership membership) {
        this.loop = loop;
        this.writer = writer;
        this.dispatcher = dispatcher;
        this.membership = membership;
    }

    /** Gives the reason to refuse a job, or null if it is taken. */
    Answers.Submission.Refused refusal(String identity, JobPlan plan, QueuePolicy policy) {
        if (plan.durable() && !membership.isRegistered()) {
            return new Answers.Submission.Refused("starting", Entry.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !writer.isAnswering()) {
            return new Answers.Submission.Refused("store-silent", Entry.FAULT_RETRY_MILLISECONDS, false);
        }
        for (StepPlan step : plan.steps()) {
            if (!Placement.canEverRun(step, policy.service(), dispatcher.sidecars())) {
                return new Answers.Submission.Refused("no-upstream-fits", Entry.FAULT_RETRY_MILLISECONDS, false);
            }
        }
        OwnedJob job = new OwnedJob(identity, plan, policy, 0, loop.timeOfDay(), loop.now());
        int entries = Math.max(1, membership.of(ProcessRole.ENTRY).size());
        long end = dispatcher.predictEnd(job, entries);
        if (end == Long.MAX_VALUE) {
            return new Answers.Submission.Refused("no-upstream", Entry.FAULT_RETRY_MILLISECONDS, false);
        }
        long allowed = Math.round(job.objective() * OBJECTIVE_FACTOR);
        return end > allowed ? new Answers.Submission.Refused("load", Math.max(1, end - allowed), true) : null;
    }
}
