package io.caperturn.jobs;

import java.util.Locale;

/** Names of logged events; a test checks that the table in docs/OPERATIONS.md matches this list. */
public enum EventName {
    /** An entry abandoned a job that had not started, or whose caller has gone. */
    ABANDONED,
    /** An entry stored a job and answered its caller. */
    ACCEPTED,
    /** An entry adopted a stored job. */
    ADOPTED,
    /** A task waits for placement again, with the reason. */
    AGAIN,
    /** A sidecar ignored an announcement that is older than the known one. */
    ANNOUNCEMENT_DROPPED,
    /** Cancellation of a job was requested. */
    CANCEL,
    /** An entry cancelled a stored job that another entry owns, by closing its record. */
    CANCELLED_FOREIGN,
    /** The configuration was removed from the store; the last one stays in force. */
    CONFIGURATION_REMOVED,
    /** A configuration is unreadable; the last one stays in force. */
    CONFIGURATION_UNREADABLE,
    /** An entry applied a configuration. */
    CONFIGURED,
    /** A sidecar dropped a task dispatched by a fenced entry (declared lost; nothing more is accepted from it). */
    DISPATCH_FENCED,
    /** A sidecar refused a task, with the reason. */
    DISPATCH_REFUSED,
    /** An upstream is temporarily excluded from placement. */
    EJECTED,
    /** A sidecar retains a completion because its owner is silent. */
    END_KEPT,
    /** A run has finished at its upstream. */
    ENDED,
    /** A sidecar uses a new fencing token. */
    FENCE,
    /** A process received a frame of a kind that it does not handle. */
    FRAME_UNEXPECTED,
    /** A stopping entry hands its stored jobs over to the other entries. */
    HANDING_OVER,
    /** An upstream refused a hold (a request that extends leases and lists runs). */
    HOLD_REFUSED,
    /** An upstream did not answer a hold. */
    HOLD_UNANSWERED,
    /** A stored job is now owned by another entry. */
    JOB_LOST,
    /** A request joined an existing job. */
    JOINED,
    /** A process accepts no new work. */
    LEAVING,
    /** Lines were dropped because the output was not read in time. */
    LINES_DROPPED,
    /** Lines of an event beyond its limit were omitted. */
    LINES_OMITTED,
    /** A link to another process is open. */
    LINK,
    /** A link broke, with the cause. */
    LINK_FAULT,
    /** A link is closed. */
    LINK_LOST,
    /** A process accepts requests. */
    LISTENING,
    /** A request is malformed. */
    MALFORMED,
    /** A process has become a member, according to its record. */
    MEMBER,
    /** A process is no longer a member. */
    MEMBER_LOST,
    /** A process has been silent for too long, and its record is removed. */
    MEMBER_SILENT,
    /** A request matches no queue of the configuration. */
    NO_QUEUE,
    /** A sidecar accepts no more orders from a lost entry. */
    OWNER_FENCED,
    /** A task was dispatched to a sidecar, with the values behind the choice. */
    PLACED,
    /** A stored job names a queue that is no longer in the configuration. */
    QUEUE_UNKNOWN,
    /** A request to submit or cancel a job arrived, with the job that it names and how long its caller waits. */
    RECEIVED,
    /** A stored record is unreadable. */
    RECORD_UNREADABLE,
    /** The runs of a lost entry have been collected. */
    RECOVERED,
    /** An entry requests the runs of a lost one. */
    RECOVERY,
    /** A request was refused, with the reason and the time after which to retry. */
    REFUSED,
    /** A process could not register and retries. */
    REGISTER_RETRY,
    /** A process has registered. */
    REGISTERED,
    /** A process found that its record has been replaced. */
    REGISTRATION_LOST,
    /** Settings were reloaded, with those that changed. */
    RELOAD,
    /** Settings could not be reloaded; the last ones stay in force. */
    RELOAD_FAILED,
    /** An entry was declared lost and restarts. */
    RESIGNED,
    /** A queued run was refused because its owner is silent. */
    RUN_DROPPED,
    /** A run failed, with the number of failures of its task. */
    RUN_FAILED,
    /** An upstream has a run that the current incarnation of its sidecar did not order. */
    RUN_FOUND,
    /** The lease of a run must have expired. */
    RUN_LAPSED,
    /** A run that was considered active is not listed by its upstream. */
    RUN_MISSING,
    /** A sidecar ordered its upstream to start a run. */
    RUN_ORDERED,
    /** The scan for jobs without an owner could not read the store. */
    SCAN_FAILED,
    /** The settings file cannot be checked for changes. */
    SETTINGS_UNREACHABLE,
    /** The result of a job is available to its caller. */
    SHOWN,
    /** An entry moves a stalled run to another upstream. */
    STALLED,
    /** A run has made no progress for too long in relation to its expected duration. */
    STANDS_STILL,
    /** A process starts. */
    START,
    /** An order to start a run was not answered. */
    START_DOUBTFUL,
    /** An upstream refused to start a run. */
    START_REFUSED,
    /** A process stops. */
    STOP,
    /** A process stops with unfinished work. */
    STOP_INCOMPLETE,
    /** A sidecar ordered its upstream to stop a run. */
    STOP_RUN,
    /** A write was not answered; it is repeated under the same condition. */
    STORE_DOUBTFUL,
    /** The store cannot be read. */
    STORE_LOST,
    /** The store can be read, for the first time or again. */
    STORE_REACHED,
    /** The store refused a write. */
    STORE_REFUSED,
    /** A process was suspended for a time that its clock did not count. */
    SUSPENDED,
    /** An entry accepted a job that is not stored and whose caller waits. */
    TAKEN,
    /** An entry told a sidecar that the job of an unclaimed run has finished. */
    UNCLAIMED,
    /** A request sets a field that is not supported. */
    UNSERVED,
    /** A sidecar learned its upstream, or that the upstream is leaving. */
    UPSTREAM,
    /** An upstream has stopped. */
    UPSTREAM_GONE,
    /** A sidecar learned which incarnation of its upstream answers. */
    UPSTREAM_LIFE,
    /** A sidecar uses the description of the upstream that its earlier incarnation stored. */
    UPSTREAM_RECALLED;

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
