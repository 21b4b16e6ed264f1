package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** One message on a link between two processes. */
public sealed interface JobFrame {

    /**
     * First message on a link, in both directions: who speaks.
     *
     * @param role what the process does
     * @param node name of its instance
     * @param incarnation identity of this life of the process
     */
    record Hello(ProcessRole role, String node, String incarnation) implements JobFrame {
        /** Checks that nothing is missing. */
        public Hello {
            Objects.requireNonNull(role, "role");
            Objects.requireNonNull(node, "node");
            Objects.requireNonNull(incarnation, "incarnation");
        }
    }

    /**
     * State of a sidecar and its upstream, sent on changes and at an interval.
     *
     * @param usable whether new tasks are taken
     * @param service kind of upstream; empty while none has announced itself
     * @param capacity room of the upstream when nothing runs
     * @param free room that is neither in use nor promised to waiting tasks; negative while tasks wait
     * @param waitingWork work of the tasks that wait, in thousandths of a core times milliseconds
     * @param runningTasks number of tasks in their run
     * @param labels what the upstream says of itself, its rack among them
     * @param dispatchesSeen highest number of a dispatch that has come over this link
     * @param renewal number of the request to go on, answered by {@link Lease}
     */
    record Status(
            boolean usable,
            String service,
            Resources capacity,
            Resources free,
            long waitingWork,
            int runningTasks,
            List<String> labels,
            long dispatchesSeen,
            long renewal)
            implements JobFrame {
        /** Copies the list. */
        public Status {
            labels = List.copyOf(labels);
        }
    }

    /**
     * Answer to a {@link Status}: the entry lives, and stands by the tasks that it has sent.
     *
     * @param renewal the number answered
     * @param authority whether the entry also knows that nobody has taken over its stored jobs
     */
    record Lease(long renewal, boolean authority) implements JobFrame {}

    /**
     * Order to run a task, from its job's owner.
     *
     * @param sequence number of this dispatch on its link, rising from 1
     * @param run the run
     * @param payload text for the task
     * @param need room that it takes
     * @param estimatedMilliseconds duration that the owner expects on this upstream
     * @param slackMilliseconds time until it has to start to be in time; negative if it is late already
     * @param urgency urgency of its queue, 0 first
     * @param durable whether its job is stored and outlives its owner
     */
    record Dispatch(
            long sequence,
            RunIdentity run,
            String payload,
            Resources need,
            long estimatedMilliseconds,
            long slackMilliseconds,
            int urgency,
            boolean durable)
            implements JobFrame {
        /** Checks that nothing is missing. */
        public Dispatch {
            Objects.requireNonNull(run, "run");
            Objects.requireNonNull(payload, "payload");
            Objects.requireNonNull(need, "need");
        }
    }

    /**
     * Order to drop a waiting run or to stop a running one.
     *
     * @param run the run
     */
    record Withdraw(RunIdentity run) implements JobFrame {}

    /**
     * Word that an end is stored, or counts for nothing, and may be forgotten.
     *
     * @param run the run
     */
    record Settled(RunIdentity run) implements JobFrame {}

    /**
     * News of a run.
     *
     * @param run the run
     * @param outcome how it stands
     * @param runMilliseconds how long it ran, in milliseconds; 0 if that is not known
     * @param reason what an end without success was put down to; empty if nothing is known
     */
    record Report(RunIdentity run, RunOutcome outcome, long runMilliseconds, String reason) implements JobFrame {
        /** Reason given with a run that is at work but has not moved for longer than its size explains. */
        public static final String STANDS_STILL = "stands-still";
        /** Reason of a refusal: others' tasks took the room that the entry saw. */
        public static final String NO_ROOM = "no-room";
    }

    /**
     * All that a sidecar knows of runs, sent first on each link and in answer to {@link FenceOwner}.
     *
     * @param fenced incarnation of an entry from which no order will be taken any more; empty on a new link
     * @param complete whether the upstream's own list is in it: a run that is missing will then never start
     * @param dispatchesSeen highest number of a dispatch that had come over this link; later ones are not in it
     * @param runs the runs, each as a report
     */
    record Inventory(String fenced, boolean complete, long dispatchesSeen, List<Report> runs) implements JobFrame {
        /** Copies the list. */
        public Inventory {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Order to take nothing more from an entry that is lost, answered by {@link Inventory}.
     *
     * @param incarnation the entry's incarnation
     */
    record FenceOwner(String incarnation) implements JobFrame {}

    /**
     * Question for the owner of jobs whose runs nobody has claimed.
     *
     * @param jobs identities of the jobs
     */
    record Unclaimed(List<String> jobs) implements JobFrame {
        /** Copies the list. */
        public Unclaimed {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Answer to {@link Unclaimed}: the job is over, so its runs can be stopped and its ends forgotten.
     *
     * @param job identity of the job
     */
    record JobOver(String job) implements JobFrame {}

    /**
     * Sign of life of an entry to another.
     *
     * @param waitingJobs number of jobs of each queue of which no task has started
     */
    record EntryState(Map<String, Integer> waitingJobs) implements JobFrame {
        /** Copies the map. */
        public EntryState {
            waitingJobs = Map.copyOf(waitingJobs);
        }
    }

    /**
     * Request to a job's owner to cancel it.
     *
     * @param job identity of the job
     */
    record CancelJob(String job) implements JobFrame {}
}
