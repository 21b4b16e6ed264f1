package io.caperturn.jobs.message;

import io.caperturn.jobs.model.PairSlowdown;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.UpstreamCrash;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Message on a link, the connection between two processes: entries, which accept and own jobs, and sidecars, each of
 * which starts runs of tasks on its upstream.
 *
 * <p>An entry dispatches tasks to sidecars under a lease that it has to renew: once the lease expires, the sidecar
 * stops the entry's runs. If an entry is lost, another one adopts its stored jobs and becomes their owner.
 */
public sealed interface JobFrame {

    /**
     * First message on a link, in both directions: identifies the sender.
     *
     * @param role role of the process
     * @param node name of its instance
     * @param incarnation identity of the process from its start to its stop; after a restart it has another one
     * @param zone availability zone of its instance; empty if unknown
     */
    record Hello(ProcessRole role, String node, String incarnation, String zone) implements JobFrame {
        /** Checks that nothing is null. */
        public Hello {
            Objects.requireNonNull(role, "role");
            Objects.requireNonNull(node, "node");
            Objects.requireNonNull(incarnation, "incarnation");
            Objects.requireNonNull(zone, "zone");
        }
    }

    /**
     * State of a sidecar and its upstream, sent on changes and at an interval; if it has a renewal number, it also
     * requests the renewal of the entry's lease on its tasks.
     *
     * @param usable whether new tasks are accepted
     * @param service kind of upstream; empty until one has announced itself
     * @param capacity resources of the upstream when nothing runs
     * @param free resources that neither active nor queued tasks need; negative if they need more than the capacity
     * @param waitingWork estimated work of the queued tasks, in thousandths of a core times milliseconds
     * @param runningTasks number of active tasks
     * @param labels labels of the upstream, including its rack
     * @param dispatchesSeen highest sequence number of a {@link Dispatch} received over this link
     * @param renewal number of the renewal request, answered by {@link Lease}; {@link #NO_RENEWAL} if none is requested
     * @param coldMilliseconds how much longer the upstream is expected to be slow after its start, in milliseconds
     * @param crashes crashes of the upstream in the last seconds; empty from older builds
     * @param upstreamNumber number of the upstream's incarnation (the time from a start to the next stop), as this
     *     sidecar process counts them from 1; 0 from older builds
     * @param awaitingDescription whether an upstream answers that has not told yet what it is
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
            long renewal,
            long coldMilliseconds,
            List<UpstreamCrash> crashes,
            long upstreamNumber,
            boolean awaitingDescription)
            implements JobFrame {
        /** Number of a status that requests no renewal. */
        public static final long NO_RENEWAL = 0;

        /** Copies the lists. */
        public Status {
            labels = List.copyOf(labels);
            crashes = List.copyOf(crashes);
        }

        /**
         * Returns this status with the room that a later report tells; it requests no renewal.
         *
         * @param room the room
         * @param remainingColdMilliseconds how much longer the upstream is expected to be slow, in milliseconds
         * @return the status
         */
        public Status withRoom(Room room, long remainingColdMilliseconds) {
            return new Status(
                    usable,
                    service,
                    capacity,
                    room.free(),
                    room.waitingWork(),
                    runningTasks,
                    labels,
                    room.dispatchesSeen(),
                    NO_RENEWAL,
                    remainingColdMilliseconds,
                    crashes,
                    upstreamNumber,
                    awaitingDescription);
        }
    }

    /**
     * Answer to a {@link Status} that requests a renewal: the entry renews the lease on the tasks that it has
     * dispatched.
     *
     * @param renewal number of the renewal request
     * @param authority whether the entry also knows that no other entry has adopted its stored jobs; if not, the lease
     *     on the tasks of stored jobs is not renewed
     */
    record Lease(long renewal, boolean authority) implements JobFrame {}

    /**
     * Order to run a task, sent by the entry that owns its job.
     *
     * @param sequence number of this dispatch on its link, increasing from 1
     * @param run the run
     * @param payload text passed to the task
     * @param need resources that the run needs
     * @param estimatedMilliseconds duration that the owner expects on this upstream, in milliseconds
     * @param slackMilliseconds time until the latest start of the run, in milliseconds; negative if that has passed
     * @param urgency urgency of its job's queue; 0 is the most urgent
     * @param durable whether the job of the run is stored and outlives its owner
     * @param withoutStartReport whether the owner needs no {@link Report} of the start; false from older builds
     * @param queue name of its job's queue; empty if the entry is too old to tell it and to accept {@link Slowdowns}
     * @param exclusive whether the run has to be the only one on the upstream; false from older builds
     * @param upstreamNumber number of the upstream's incarnation for which the task was chosen, from its
     *     {@link Status}; the run is refused by another one; 0 from older builds
     */
    record Dispatch(
            long sequence,
            RunIdentity run,
            String payload,
            Resources need,
            long estimatedMilliseconds,
            long slackMilliseconds,
            int urgency,
            boolean durable,
            boolean withoutStartReport,
            String queue,
            boolean exclusive,
            long upstreamNumber)
            implements JobFrame {
        /** Checks that nothing is null. */
        public Dispatch {
            Objects.requireNonNull(run, "run");
            Objects.requireNonNull(payload, "payload");
            Objects.requireNonNull(need, "need");
            Objects.requireNonNull(queue, "queue");
        }
    }

    /**
     * Order to remove a queued run or to stop an active one.
     *
     * @param run the run
     */
    record Withdraw(RunIdentity run) implements JobFrame {}

    /**
     * Acknowledgement that the completion of a run is stored, or need not be, and may be discarded.
     *
     * @param run the run
     */
    record Settled(RunIdentity run) implements JobFrame {}

    /**
     * Room for tasks at a sidecar, as a {@link Status} tells it.
     *
     * @param free resources that neither active nor queued tasks need; negative if they need more than the capacity
     * @param waitingWork estimated work of the queued tasks, in thousandths of a core times milliseconds
     * @param dispatchesSeen highest sequence number of a {@link Dispatch} received over this link
     */
    record Room(Resources free, long waitingWork, long dispatchesSeen) {
        /** Checks that nothing is null. */
        public Room {
            Objects.requireNonNull(free, "free");
        }
    }

    /**
     * Report on the state of a run.
     *
     * @param run the run
     * @param outcome state or outcome of the run
     * @param runMilliseconds how long it ran, in milliseconds; 0 if unknown
     * @param reason cause of an outcome other than success; empty if unknown
     * @param room room at the sidecar after the change; empty in an {@link Inventory} and from older builds
     */
    record Report(RunIdentity run, RunOutcome outcome, long runMilliseconds, String reason, Optional<Room> room)
            implements JobFrame {
        /**
         * Reason reported for an active run that has made no progress for too long in relation to its expected
         * duration.
         */
        public static final String STANDS_STILL = "stands-still";
        /** Reason of a refusal: tasks of other entries use the resources that the dispatching entry counted as free. */
        public static final String NO_ROOM = "no-room";
        /** Reason of a refusal: the upstream takes no runs now. */
        public static final String UPSTREAM_UNUSABLE = "upstream-unusable";
        /**
         * Reason of a refusal: another incarnation of the upstream has taken the place of the one that was to run it.
         */
        public static final String UPSTREAM_REPLACED = "upstream-replaced";
        /** Reason of a refusal: the order to start the run could not be sent to the upstream. */
        public static final String UPSTREAM_UNREACHABLE = "upstream-unreachable";
        /** Reason of a lapse: the upstream crashed while the run was active there. */
        public static final String UPSTREAM_CRASHED = "upstream-crashed";
        /** Like {@link #UPSTREAM_CRASHED}, shortly after the start of the run, as if that had been the cause. */
        public static final String UPSTREAM_CRASHED_AT_START = "upstream-crashed-at-start";
        /**
         * Reason of a lapse: the upstream crashed, but whether the run was active then is not known, because its start
         * had not been confirmed, or the upstream had been silent before.
         */
        public static final String UPSTREAM_CRASHED_UNCONFIRMED = "upstream-crashed-unconfirmed";

        /** Reason of a refusal: another entry has told that the job is over. */
        public static final String JOB_OVER = "job-over";

        /** Reason of a second report on a lapse that was put down to a crash: the upstream had not crashed. */
        public static final String CRASH_RETRACTED = "crash-retracted";

        /** Checks that nothing is null. */
        public Report {
            Objects.requireNonNull(run, "run");
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(room, "room");
        }

        /**
         * Creates a report that does not tell the room.
         *
         * @param run the run
         * @param outcome state or outcome of the run
         * @param runMilliseconds how long it ran, in milliseconds; 0 if unknown
         * @param reason cause of an outcome other than success; empty if unknown
         */
        public Report(RunIdentity run, RunOutcome outcome, long runMilliseconds, String reason) {
            this(run, outcome, runMilliseconds, reason, Optional.empty());
        }
    }

    /**
     * All runs known to a sidecar, sent when a link opens, once the upstream has listed its runs, and in answer to
     * {@link FenceOwner}.
     *
     * @param fenced incarnation of the lost entry named by the {@link FenceOwner} that this answers; empty for other
     *     inventories
     * @param complete whether the upstream has listed its runs, so that a run missing here will never start
     * @param dispatchesSeen highest sequence number of a dispatch received over this link; later dispatches are not
     *     included
     * @param runs reports on the runs
     */
    record Inventory(String fenced, boolean complete, long dispatchesSeen, List<Report> runs) implements JobFrame {
        /** Copies the list. */
        public Inventory {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Order to accept nothing more from a lost entry, sent by the entry that adopts its jobs; answered by
     * {@link Inventory}. The sidecar sends it on to the lost entry, if there is a link to it: that entry gives up its
     * jobs.
     *
     * @param incarnation incarnation of the lost entry
     */
    record FenceOwner(String incarnation) implements JobFrame {}

    /**
     * Question of a sidecar to an entry about jobs whose runs have no owner, or whose ends nobody has confirmed for
     * long; answered by {@link JobOver} for each job that has finished, and by {@link Settled} for each end that is
     * stored or need not be. An entry that does not own such a job sends the question on to the one that does.
     *
     * @param jobs identities of the jobs
     * @param ends reports on the runs among them that have ended; empty from older builds
     * @param sidecar incarnation of the sidecar that asks; empty if it is the sender
     */
    record Unclaimed(List<String> jobs, List<Report> ends, String sidecar) implements JobFrame {
        /** Copies the lists. */
        public Unclaimed {
            Objects.requireNonNull(sidecar, "sidecar");
            jobs = List.copyOf(jobs);
            ends = List.copyOf(ends);
        }
    }

    /**
     * Answer to {@link Unclaimed}, and news of a cancelled job to all sidecars: the job has finished, so its runs can
     * be stopped and their completions discarded.
     *
     * @param job identity of the job
     */
    record JobOver(String job) implements JobFrame {}

    /**
     * Heartbeat of an entry to another entry.
     *
     * @param waitingJobs number of jobs of which no task has started, by name of the queue
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

    /**
     * Estimates of a sidecar of how much the runs of queues slow each other down on its upstream; replaces all earlier
     * ones. Sent on changes to entries whose dispatches name their queue.
     *
     * @param pairs the estimates
     * @param levelHundredths average number of active runs in the last seconds, in hundredths, by name of the queue;
     *     empty without evidence of a slowdown
     */
    record Slowdowns(List<PairSlowdown> pairs, Map<String, Integer> levelHundredths) implements JobFrame {
        /** Copies the list and the map. */
        public Slowdowns {
            pairs = List.copyOf(pairs);
            levelHundredths = Map.copyOf(levelHundredths);
        }
    }
}
