package io.caperturn.jobs;

/**
 * Keys of the values in log lines.
 *
 * <p>An entry is a process that accepts jobs and sends their tasks to sidecars. A sidecar is the process beside an
 * upstream, a service that runs tasks. A run is one attempt to run a task. An incarnation is one start of a process or
 * upstream. A queue is a set of jobs with one policy.
 */
public enum EventKey {
    /** Action that the process took. */
    ACTION("action"),
    /** Entry that takes over jobs. */
    ADOPTER("adopter"),
    /** Time since the arrival of a job, in milliseconds. */
    AFTER("after"),
    /** Number of failed runs of a task at which its job fails. */
    ALLOWED("allowed"),
    /** Name of the instance on which the process that wrote the line runs. */
    AT("at"),
    /** Previous value. */
    BEFORE("before"),
    /** Queue beside whose runs those of another queue take longer. */
    BESIDE("beside"),
    /** Start of an upstream's incarnation, in milliseconds since 1970. */
    BORN("born"),
    /** Start of the upstream's previous incarnation, in milliseconds since 1970. */
    BORN_BEFORE("bornBefore"),
    /** Processor capacity of an upstream, in thousandths of a core. */
    CAPACITY("capacity"),
    /** Cause of an action. */
    CAUSE("cause"),
    /** Settings that changed. */
    CHANGED("changed"),
    /** Reading of an upstream's clock, in milliseconds. */
    CLOCK("clock"),
    /** Whether the upstream has confirmed the start of a run, or the number of runs whose start it has confirmed. */
    CONFIRMED("confirmed"),
    /** Number of lines that were omitted or dropped. */
    COUNT("count"),
    /** Whether a crash counts under a task. */
    COUNTED("counted"),
    /** Number of runs of a task under which an upstream crashed. */
    CRASHES("crashes"),
    /** Maximum time that a caller waits, in milliseconds; 0 if unknown. */
    DEADLINE("deadline"),
    /** Start of the incarnation of an upstream of which a description is, in milliseconds since 1970. */
    DESCRIBED("described"),
    /** Periodic duty of an entry. */
    DUTY("duty"),
    /** Consequence of a change of settings. */
    EFFECT("effect"),
    /** Number of runs that have ended. */
    ENDED("ended"),
    /** Whether a run was sent as the only one to its upstream. */
    EXCLUSIVE("exclusive"),
    /** Expected duration of a run, in milliseconds. */
    EXPECTED("expected"),
    /** Number of failed runs of a task. */
    FAILURES("failures"),
    /** Fencing token of a sidecar: its upstream refuses orders with a lower one. */
    FENCE("fence"),
    /** Field of a request. */
    FIELD("field"),
    /** Frame: a message between processes. */
    FRAME("frame"),
    /** Free processor capacity, in thousandths of a core. */
    FREE("free"),
    /** Sender of a frame, or previous owner of a job that an entry took over. */
    FROM("from"),
    /** Number of owners that a job had before. */
    GENERATION("generation"),
    /** Host name to which a request was sent. */
    HOST("host"),
    /** Name of the upstream beside which the sidecar that wrote the line runs. */
    IDENTITY("identity"),
    /** Incarnation of a process. */
    INCARNATION("incarnation"),
    /** Identity of a job. */
    JOB("job"),
    /** Number of jobs. */
    JOBS("jobs"),
    /** Label that a task requires of an upstream; empty for none. */
    LABEL("label"),
    /** Labels of an upstream. */
    LABELS("labels"),
    /** Whether the job of a task fails if its next run fails. */
    LAST_ATTEMPT("lastAttempt"),
    /** Whether an upstream is leaving. */
    LEAVING("leaving"),
    /** Whether a link to the process that is named was open. */
    LINKED("linked"),
    /** Name of the membership record of a process. */
    MEMBER("member"),
    /** Number of consecutive unanswered holds: requests to an upstream to extend leases and list runs. */
    MISSED("missed"),
    /** Name of the instance on which a process runs. */
    NODE("node"),
    /** Names of instances. */
    NODES("nodes"),
    /** Number that an upstream gave to the end of a run, or a new fencing token. */
    NUMBER("number"),
    /** Time within which a job should finish, in milliseconds. */
    OBJECTIVE("objective"),
    /** Event whose lines were omitted. */
    OF("of"),
    /** Whether a job is unfinished. */
    OPEN("open"),
    /** Outcome of a run. */
    OUTCOME("outcome"),
    /** Entry that owns a job or run. */
    OWNER("owner"),
    /** Part of a table of the store; transactions of a part run one after another. */
    PART("part"),
    /** Path of a request. */
    PATH("path"),
    /** Progress of a run, in percent. */
    PERCENT("percent"),
    /** Phase of a run. */
    PHASE("phase"),
    /** Queue of a job. */
    QUEUE("queue"),
    /** Number of queues. */
    QUEUES("queues"),
    /** Duration of a run, in milliseconds. */
    RAN("ran"),
    /** Number of entries that come before this one in removing the record of a process. */
    RANK("rank"),
    /** Reason of a refusal or failure. */
    REASON("reason"),
    /** Identity of a request. */
    REQUEST("request"),
    /** Time after which the caller may retry, in milliseconds. */
    RETRY_AFTER("retryAfter"),
    /** Role of a process. */
    ROLE("role"),
    /** Identity of a run. */
    RUN("run"),
    /** Number of runs. */
    RUNS("runs"),
    /** Kind of upstream. */
    SERVICE("service"),
    /** Incarnation of a sidecar. */
    SIDECAR("sidecar"),
    /** Number of sidecars. */
    SIDECARS("sidecars"),
    /** Time since a process was last heard from, in milliseconds. */
    SILENCE("silence"),
    /** Time within which a run should start, in milliseconds; negative if that has passed. */
    SLACK("slack"),
    /** Chance of a start as shortly before a crash as the latest one, in thousandths, by queue of an active run. */
    START_CHANCES("startChances"),
    /** State of a job. */
    STATE("state"),
    /** Age of the sidecar's status on which the choice of an upstream is based, in milliseconds. */
    STATUS_AGE("statusAge"),
    /** Version of a stored job as written by another entry. */
    STORED("stored"),
    /** Table of the store. */
    TABLE("table"),
    /** Version of the store up to which the table of processes was read. */
    TABLE_VERSION("tableVersion"),
    /** Number of tasks. */
    TASKS("tasks"),
    /** Time of the line, in milliseconds since 1970. */
    TIME("time"),
    /** Duration of an operation, in milliseconds. */
    TOOK("took"),
    /** Number of runs of a task that were lost in a crash but are not known to have been active then. */
    UNCONFIRMED("unconfirmed"),
    /** Name of the upstream in an announcement or order. */
    UPSTREAM("upstream"),
    /** Whether an upstream takes tasks. */
    USABLE("usable"),
    /** Version of a table, record or configuration. */
    VERSION("version"),
    /** Time that a run was queued at its sidecar, in milliseconds. */
    WAITED("waited"),
    /** Number of waiting tasks. */
    WAITING("waiting"),
    /** Number of writes in one transaction. */
    WRITES("writes"),
    /** Availability zone. */
    ZONE("zone");

    private final String label;

    EventKey(String label) {
        this.label = label;
    }

    /**
     * Returns the key as written in log lines.
     *
     * @return the key in camel case
     */
    public String label() {
        return label;
    }

    @Override
    public String toString() {
        return label;
    }
}
