package io.caperturn.jobs;

/** Keys of the values in log lines. */
public enum EventKey {
    /** What is being done. */
    ACTION("action"),
    /** Entry that takes over. */
    ADOPTER("adopter"),
    /** Time since the arrival, in milliseconds. */
    AFTER("after"),
    /** Number that is allowed. */
    ALLOWED("allowed"),
    /** Instance that wrote the line. */
    AT("at"),
    /** What was in force before. */
    BEFORE("before"),
    /** When a life of an upstream began, in milliseconds since 1970. */
    BORN("born"),
    /** The same of the life before. */
    BORN_BEFORE("bornBefore"),
    /** Room of an upstream, in thousandths of a core. */
    CAPACITY("capacity"),
    /** Why something was done. */
    CAUSE("cause"),
    /** Settings that differ. */
    CHANGED("changed"),
    /** Reading of a clock, in milliseconds. */
    CLOCK("clock"),
    /** Number of lines. */
    COUNT("count"),
    /** How long a caller waits, in milliseconds; 0 if it doesn't say. */
    DEADLINE("deadline"),
    /** What follows. */
    EFFECT("effect"),
    /** Expected time of a run, in milliseconds. */
    EXPECTED("expected"),
    /** Failed runs of a task. */
    FAILURES("failures"),
    /** Fencing number. */
    FENCE("fence"),
    /** Field of a request. */
    FIELD("field"),
    /** Frame between processes. */
    FRAME("frame"),
    /** Free room, in thousandths of a core. */
    FREE("free"),
    /** Sender. */
    FROM("from"),
    /** Count of the owners of a job. */
    GENERATION("generation"),
    /** Host of a request. */
    HOST("host"),
    /** Name of an upstream. */
    IDENTITY("identity"),
    /** Life of a process. */
    INCARNATION("incarnation"),
    /** Identity of a job. */
    JOB("job"),
    /** Number of jobs. */
    JOBS("jobs"),
    /** Whether an upstream is leaving. */
    LEAVING("leaving"),
    /** Record of a process. */
    MEMBER("member"),
    /** Holds without an answer in a row. */
    MISSED("missed"),
    /** Instance of a process. */
    NODE("node"),
    /** Number of an end or a fence. */
    NUMBER("number"),
    /** Time within which a job should end, in milliseconds. */
    OBJECTIVE("objective"),
    /** Event that was left out. */
    OF("of"),
    /** Jobs that are not over. */
    OPEN("open"),
    /** How a run ended. */
    OUTCOME("outcome"),
    /** Entry that owns a job or run. */
    OWNER("owner"),
    /** Part of a table. */
    PART("part"),
    /** Path of a request. */
    PATH("path"),
    /** How far a run is. */
    PERCENT("percent"),
    /** Where a run stood. */
    PHASE("phase"),
    /** Kind of work. */
    QUEUE("queue"),
    /** Number of kinds of work. */
    QUEUES("queues"),
    /** Time of a run, in milliseconds. */
    RAN("ran"),
    /** Why something was refused or failed. */
    REASON("reason"),
    /** Identity of a request. */
    REQUEST("request"),
    /** Time after which to come back, in milliseconds. */
    RETRY_AFTER("retryAfter"),
    /** What a process does. */
    ROLE("role"),
    /** A run of a task. */
    RUN("run"),
    /** Kind of upstream. */
    SERVICE("service"),
    /** Life of a sidecar. */
    SIDECAR("sidecar"),
    /** Number of sidecars. */
    SIDECARS("sidecars"),
    /** Time since the last sign of life, in milliseconds. */
    SILENCE("silence"),
    /** Time until a run should start at the latest, in milliseconds. */
    SLACK("slack"),
    /** State of a job. */
    STATE("state"),
    /** Age of the word that decided, in milliseconds. */
    STATUS_AGE("statusAge"),
    /** Whether a job is stored. */
    STORED("stored"),
    /** Table of the store. */
    TABLE("table"),
    /** Number of tasks. */
    TASKS("tasks"),
    /** Time of the line, in milliseconds since 1970. */
    TIME("time"),
    /** Time that something took, in milliseconds. */
    TOOK("took"),
    /** Name of an upstream. */
    UPSTREAM("upstream"),
    /** Version of a table, record or configuration. */
    VERSION("version"),
    /** Time that a run waited at its sidecar, in milliseconds. */
    WAITED("waited"),
    /** Number of waiting tasks. */
    WAITING("waiting"),
    /** Number of writes that were sent together. */
    WRITES("writes"),
    /** Availability zone. */
    ZONE("zone");

    private final String label;

    EventKey(String label) {
        this.label = label;
    }

    /**
     * Returns the key as it is written.
     *
     * @return one word, later words with a capital
     */
    public String label() {
        return label;
    }

    @Override
    public String toString() {
        return label;
    }
}
