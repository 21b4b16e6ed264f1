package io.caperturn.jobs;

import java.util.Locale;

/**
 * Names of logged events; a test checks that the table in docs/OPERATIONS.md matches this list.
 *
 * <p>An entry is a process that accepts jobs and sends their tasks to sidecars. A sidecar is the process beside an
 * upstream, a service that runs tasks. A run is one attempt to run a task; the upstream stops it once its lease
 * expires. An incarnation is one start of a process or upstream. A link is a connection between two processes. A queue
 * is a set of jobs with one policy.
 */
public enum EventName {
    /** An entry abandoned a job that is not stored, because it cannot start in time or its caller has gone. */
    ABANDONED,
    /** An entry stored a job and answered its caller. */
    ACCEPTED,
    /** An entry adopted a stored job: it replaced the lost owner of the job. */
    ADOPTED,
    /** A task that was sent to a sidecar waits to be sent again, with the reason. */
    AGAIN,
    /** A sidecar ignored an upstream's description of itself that is older than the one it knows. */
    ANNOUNCEMENT_DROPPED,
    /** An entry cancels a job that it owns. */
    CANCEL,
    /** An entry told another one again of a job that was cancelled, because a new link to it is open. */
    CANCEL_REPEATED,
    /**
     * An entry told all sidecars that a cancelled job is over, because the entry that owns it is out of touch or lost.
     */
    CANCEL_TOLD_SIDECARS,
    /** An entry moved the record of a job that another entry owns to the table of finished jobs, as cancelled. */
    CANCELLED_FOREIGN,

    /**
     * The lease of its owner applies to a run no more: the owner opened another link or is lost. The run is stopped
     * unless an entry claims it.
     */
    CLAIM_ENDED,
    /** The configuration was removed from the store; the previous one stays in force. */
    CONFIGURATION_REMOVED,
    /** A configuration is unreadable; the previous one stays in force. */
    CONFIGURATION_UNREADABLE,
    /** An entry applied a configuration. */
    CONFIGURED,
    /** An upstream that its sidecar took for crashed answered, in the same incarnation; an entry counts it no more. */
    CRASH_RETRACTED,
    /** A sidecar dropped a task dispatched by a fenced entry (declared lost; nothing more is accepted from it). */
    DISPATCH_FENCED,
    /** A sidecar refused a task, with the reason. */
    DISPATCH_REFUSED,
    /** An entry stops sending tasks to an upstream for a time, because runs failed there. */
    EJECTED,
    /** An entry sends tasks to an upstream that it had ejected, because another incarnation has taken its place. */
    EJECTION_DROPPED,
    /** A sidecar keeps the outcome of a run, because the entry that owns its job is silent. */
    END_KEPT,
    /** A run has finished at its upstream. */
    ENDED,
    /** A process continues after an unexpected exception, which ended the handling of one event. */
    EXCEPTION,
    /** An entry explained where the tasks of a job would go, or why it would be refused; nothing was sent. */
    EXPLAINED,
    /** A sidecar uses a new fencing token; its upstream refuses orders with a lower one. */
    FENCE,
    /** A process received a frame (message) of a kind that it does not handle. */
    FRAME_UNEXPECTED,
    /** An entry gave up a task, and with it its job, which is shown as failed. */
    GAVE_UP,
    /** A stopping entry hands its stored jobs over to the other entries. */
    HANDING_OVER,
    /** An upstream refused a hold (a request that extends leases and lists runs). */
    HOLD_REFUSED,
    /** An upstream did not answer a hold. */
    HOLD_UNANSWERED,
    /** A write of a stored job met a record that another entry had written, with what the store holds. */
    JOB_CONFLICT,
    /** An entry found that another entry now owns a stored job that it owned itself. */
    JOB_LOST,
    /** A request submitted a job that was submitted before, and gets the answer for that job. */
    JOINED,
    /** The lease on a run has expired at a sidecar, which stops or drops the run. */
    LEASE_EXPIRED,
    /** An entry found that a stored job that it owns is not among the open ones, and writes it to learn why. */
    JOB_MISSING,
    /** A process is about to stop and signals that it should get no new work. */
    LEAVING,
    /** Lines were dropped because the output was not read in time. */
    LINES_DROPPED,
    /** Lines of one event were omitted, because there were more than its limit allows. */
    LINES_OMITTED,
    /** A link to another process is open. */
    LINK,
    /** A link broke, with the cause. */
    LINK_FAULT,
    /** A link is closed. */
    LINK_LOST,
    /** A row of an upstream's listing of runs is unreadable and is left out; logged when it first appears. */
    LISTED_RUN_UNREADABLE,
    /** A process accepts requests. */
    LISTENING,
    /** A listing of an upstream was dropped, because a later one had arrived before. */
    LISTING_OUTDATED,
    /** A request is malformed. */
    MALFORMED,
    /** The record of a new process, or of a new incarnation of one, appeared in the table of processes. */
    MEMBER,
    /** The record of a process was removed from the table of processes. */
    MEMBER_LOST,
    /** An entry could not remove the record of a silent process, or another one was faster. */
    MEMBER_REMOVAL_FAILED,
    /** An entry removes the record of a process that has been silent for too long. */
    MEMBER_SILENT,
    /** A request matches no queue of the configuration. */
    NO_QUEUE,
    /** A sidecar asked an entry about jobs whose runs there have no owner. */
    OWNER_ASKED,
    /** A sidecar accepts no more orders from an entry that was declared lost. */
    OWNER_FENCED,
    /**
     * An entry read the table of processes, because its replica is older than the record of a job whose owner it lacks,
     * and found whether that owner is lost.
     */
    OWNER_VERIFIED,
    /** A task was dispatched to a sidecar, with the values behind the choice. */
    PLACED,
    /**
     * An entry confines a queue, because its tasks crash upstreams, to the instances named; no other queue uses them.
     */
    QUEUE_CONFINED,
    /** An entry no longer confines a queue. */
    QUEUE_RELEASED,
    /** A stored job names a queue that is no longer in the configuration. */
    QUEUE_UNKNOWN,
    /** A request to submit or cancel a job arrived, with the job that it names and how long its caller waits. */
    RECEIVED,
    /** A stored record is unreadable. */
    RECORD_UNREADABLE,
    /** An entry has collected the runs of a lost entry from the sidecars. */
    RECOVERED,
    /** An entry requests the runs of a lost entry from the sidecars. */
    RECOVERY,
    /** A request was refused, with the reason and the time after which to retry. */
    REFUSED,
    /** A process could not write its record to the table of processes, and retries. */
    REGISTER_RETRY,
    /** A process has written its record to the table of processes. */
    REGISTERED,
    /** A process found that its record in the table of processes has been replaced. */
    REGISTRATION_LOST,
    /** Settings were reloaded, with those that changed. */
    RELOAD,
    /** Settings could not be reloaded; the previous ones stay in force. */
    RELOAD_FAILED,
    /**
     * An entry that another entry declared lost gives up its jobs and restarts; it learned of that from the table of
     * processes, or from a sidecar that accepts nothing more from it.
     */
    RESIGNED,
    /** A sidecar was sent a run again that it knows, by an entry that is its owner from now on. */
    RUN_CLAIMED,
    /**
     * An upstream crashed under a run, with the number of such runs of its task; at the allowed number, its job fails.
     */
    RUN_CRASHED,
    /** A run failed, with the number of failures of its task. */
    RUN_FAILED,
    /** An upstream has a run that the current incarnation of its sidecar did not order. */
    RUN_FOUND,
    /** A run cannot be active any more: its lease must have expired, or its upstream has stopped. */
    RUN_LAPSED,
    /** An upstream does not list a run that its sidecar considered active. */
    RUN_MISSING,
    /** A sidecar ordered its upstream to start a run. */
    RUN_ORDERED,
    /** A sidecar reported an active run of a task that has another current run at the entry that owns its job. */
    RUN_SUPERSEDED,
    /** The scan for jobs without an owner could not read the store. */
    SCAN_FAILED,
    /** The settings file cannot be checked for changes. */
    SETTINGS_UNREACHABLE,
    /** The final state of a job is available to its caller. */
    SHOWN,
    /** An entry no longer expects the runs of one queue to take longer beside those of another. */
    SLOWDOWN_DROPPED,
    /** An entry has learned that the runs of one queue take longer beside those of another. */
    SLOWDOWN_LEARNED,
    /** An entry moves a stalled run to another upstream. */
    STALLED,
    /** A run has made no progress for too long in relation to its expected duration. */
    STANDS_STILL,
    /** A process starts. */
    START,
    /** An order to start a run was not answered, so the run may have started. */
    START_DOUBTFUL,
    /** An order to start a run could not be sent to the upstream, so the run is returned to its owner. */
    START_NOT_SENT,
    /** An upstream refused to start a run. */
    START_REFUSED,
    /** A process stops. */
    STOP,
    /** A process stops with unfinished work. */
    STOP_INCOMPLETE,
    /**
     * A sidecar takes it back that its upstream stops: a heartbeat was sent after the notice, which was that of an
     * earlier incarnation.
     */
    STOP_NOTICE_LIFTED,
    /** A sidecar ordered its upstream to stop a run. */
    STOP_RUN,
    /** A write was not answered and may have been applied; it is repeated under the same condition. */
    STORE_DOUBTFUL,
    /** The store cannot be read. */
    STORE_LOST,
    /** The store can be read, for the first time or again. */
    STORE_REACHED,
    /** The store refused a write. */
    STORE_REFUSED,
    /** Retries of calls of the store wait, because the budget of the process for them is exhausted. */
    STORE_RETRIES_LIMITED,
    /** A process was suspended, during which its monotonic clock stood still. */
    SUSPENDED,
    /** An entry accepted a job that is not stored and whose caller waits. */
    TAKEN,
    /**
     * Tasks of jobs that are at least a second old wait at an entry: what they ask of an upstream, and how many
     * sidecars are assessed as their place in which way.
     */
    TASKS_WAITING,
    /** A sidecar asked for the owner of a job, and an entry answered that the job has finished. */
    UNCLAIMED,
    /** A request sets a field that is not supported. */
    UNSERVED,
    /** A sidecar learned which upstream it has, or that this upstream is leaving. */
    UPSTREAM,
    /** A sidecar takes its upstream for crashed, with the number and the queues of the runs that were active there. */
    UPSTREAM_CRASHED,
    /** An upstream announced that it stops, with the number of runs that are still active there. */
    UPSTREAM_GONE,
    /** A sidecar learned which incarnation of its upstream answers its requests. */
    UPSTREAM_LIFE,
    /** A sidecar tells entries that its upstream takes tasks or takes none, by which description of it. */
    UPSTREAM_OFFERED,
    /** A sidecar uses the description of the upstream that its earlier incarnation stored. */
    UPSTREAM_RECALLED,
    /** A sidecar was told to stop a run that it does not know, before its upstream has listed its runs. */
    WITHDRAWAL_DEFERRED,
    /** An entry ordered a sidecar to stop a run, with the cause and whether there was a link to send that over. */
    WITHDRAWN,
    /** A process learned that no task may be started in an availability zone. */
    ZONE_EVACUATED,
    /** A process learned that tasks may be started in an availability zone again, with how long it was evacuated. */
    ZONE_RESTORED,
    /** A sidecar's settings name no availability zone, so no evacuation applies to it. */
    ZONE_UNKNOWN;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /**
     * Returns the name as written in log lines.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
