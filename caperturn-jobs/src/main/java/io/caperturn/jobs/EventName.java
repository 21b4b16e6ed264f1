package io.caperturn.jobs;

import java.util.Locale;

/** Names of the events that processes log; docs/OPERATIONS.md has a table of them, held to this list by a test. */
public enum EventName {
    /** An entry gave up a job that had not begun, or whose caller has gone. */
    ABANDONED,
    /** An entry stored a job and answered its caller. */
    ACCEPTED,
    /** An entry took over a stored job. */
    ADOPTED,
    /** A task waits anew for a place, with the reason. */
    AGAIN,
    /** A sidecar passed over an announcement that is older than what it knows. */
    ANNOUNCEMENT_DROPPED,
    /** A job is to be cancelled. */
    CANCEL,
    /** A job of another entry was cancelled through its record. */
    CANCELLED_FOREIGN,
    /** The configuration is no longer there; the last one stays in force. */
    CONFIGURATION_REMOVED,
    /** A configuration can't be read; the last one stays in force. */
    CONFIGURATION_UNREADABLE,
    /** An entry took a configuration. */
    CONFIGURED,
    /** A sidecar dropped a task from an entry that is lost. */
    DISPATCH_FENCED,
    /** A sidecar did not take a task, with the reason. */
    DISPATCH_REFUSED,
    /** An upstream gets no more tasks for a while. */
    EJECTED,
    /** An end is kept by the sidecar since its owner is out of touch. */
    END_KEPT,
    /** A run is over at its upstream. */
    ENDED,
    /** A sidecar uses a new fencing number. */
    FENCE,
    /** A frame of a kind that the receiver doesn't take. */
    FRAME_UNEXPECTED,
    /** A stopping entry leaves its stored jobs to the others. */
    HANDING_OVER,
    /** An upstream refused to hold its runs. */
    HOLD_REFUSED,
    /** An upstream did not answer a hold. */
    HOLD_UNANSWERED,
    /** A stored job belongs to another entry now. */
    JOB_LOST,
    /** A request joined a job that was there. */
    JOINED,
    /** A process takes nothing new any more. */
    LEAVING,
    /** Lines were lost because nobody read the output. */
    LINES_DROPPED,
    /** Lines of an event beyond its bound were left out. */
    LINES_OMITTED,
    /** A link to another process is open. */
    LINK,
    /** A link broke, with the cause. */
    LINK_FAULT,
    /** A link is closed. */
    LINK_LOST,
    /** A process takes requests. */
    LISTENING,
    /** A request can't be read. */
    MALFORMED,
    /** A process takes part, by its record. */
    MEMBER,
    /** A process takes part no longer. */
    MEMBER_LOST,
    /** A process has been silent for long, and its record is removed. */
    MEMBER_SILENT,
    /** A request fits no queue of the configuration. */
    NO_QUEUE,
    /** A sidecar takes nothing more from a lost entry. */
    OWNER_FENCED,
    /** A task was sent to a sidecar, with what decided it. */
    PLACED,
    /** A stored job names a queue that the configuration has no longer. */
    QUEUE_UNKNOWN,
    /** A request to take or cancel a job has come, with the job that it names and how long its caller waits. */
    RECEIVED,
    /** A stored record can't be read. */
    RECORD_UNREADABLE,
    /** The runs of a lost entry are known. */
    RECOVERED,
    /** An entry asks for the runs of a lost one. */
    RECOVERY,
    /** A request was refused, with reason and time to come back. */
    REFUSED,
    /** A process could not enter its record and tries again. */
    REGISTER_RETRY,
    /** A process has entered its record. */
    REGISTERED,
    /** A process found that its record has been replaced. */
    REGISTRATION_LOST,
    /** Settings were read again, with what differs. */
    RELOAD,
    /** Settings could not be read again; the last ones stay in force. */
    RELOAD_FAILED,
    /** An entry was declared lost, and begins anew. */
    RESIGNED,
    /** A waiting run was given back since its owner is silent. */
    RUN_DROPPED,
    /** A run failed, with its count. */
    RUN_FAILED,
    /** An upstream has a run that its sidecar did not order in this life. */
    RUN_FOUND,
    /** The lease of a run must have ended. */
    RUN_LAPSED,
    /** A run that was thought to be at work is not listed. */
    RUN_MISSING,
    /** A sidecar ordered its upstream to start a run. */
    RUN_ORDERED,
    /** The search for jobs without an owner could not read the store. */
    SCAN_FAILED,
    /** The settings file can't be looked at. */
    SETTINGS_UNREACHABLE,
    /** A caller can see how a job ended. */
    SHOWN,
    /** An entry has a run done elsewhere since it stands still. */
    STALLED,
    /** A run has not moved for longer than its size explains. */
    STANDS_STILL,
    /** A process begins. */
    START,
    /** An order to start has no answer. */
    START_DOUBTFUL,
    /** An upstream refused to start a run. */
    START_REFUSED,
    /** A process ends. */
    STOP,
    /** A process ends with work left. */
    STOP_INCOMPLETE,
    /** A sidecar ordered its upstream to stop a run. */
    STOP_RUN,
    /** A write has no answer; it is repeated under the same condition. */
    STORE_DOUBTFUL,
    /** The store can't be read. */
    STORE_LOST,
    /** The store can be read again. */
    STORE_REACHED,
    /** The store refused a write. */
    STORE_REFUSED,
    /** A process was suspended for a time that its clock has not counted. */
    SUSPENDED,
    /** An entry took a job whose caller waits. */
    TAKEN,
    /** An entry told a sidecar that nobody claims a run. */
    UNCLAIMED,
    /** A request asks for what is not served. */
    UNSERVED,
    /** A sidecar knows its upstream, or the upstream is leaving. */
    UPSTREAM,
    /** An upstream has ended. */
    UPSTREAM_GONE,
    /** A sidecar knows which life of its upstream answers. */
    UPSTREAM_LIFE,
    /** A sidecar uses what its earlier life knew of the upstream. */
    UPSTREAM_RECALLED;

    private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /**
     * Returns the name as it is written.
     *
     * @return lower case with hyphens
     */
    public String label() {
        return label;
    }
}
