package io.caperturn.settings;

import java.util.Objects;

/**
 * Settings of an entry.
 *
 * @param name the process's name, unique in the system
 * @param availabilityZone the availability zone that it runs in
 * @param httpAddress where callers and operators reach it, {@code host:port}; port 0 for any
 * @param linkAddress where sidecars and other entries reach it, {@code host:port}; port 0 for any
 * @param platformAddress where the platform's store is, {@code host:port}
 * @param requests bounds on what a request may bring
 * @param claims how durable claims are written
 * @param answers how long answers are kept for resubmissions
 * @param links times of links
 * @param unservableGraceMilliseconds how long a kind may be without any upstream before its work is failed
 * @param drainTimeoutMilliseconds longest wait for accepted work at a planned stop
 */
public record EntrySettings(
        String name,
        String availabilityZone,
        String httpAddress,
        String linkAddress,
        String platformAddress,
        RequestBounds requests,
        ClaimTimes claims,
        AnswerRetention answers,
        LinkTimes links,
        int unservableGraceMilliseconds,
        int drainTimeoutMilliseconds)
        implements Settings {
    /** Grace for kinds without upstreams where the settings give none. */
    public static final int DEFAULT_UNSERVABLE_GRACE_MILLISECONDS = 3_000;

    /** Longest drain where the settings give none. */
    public static final int DEFAULT_DRAIN_TIMEOUT_MILLISECONDS = 30_000;

    /** Checks that the addresses are present and fills in defaults. */
    public EntrySettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(platformAddress, "platformAddress");
        requests = requests == null ? RequestBounds.DEFAULT : requests;
        claims = claims == null ? ClaimTimes.DEFAULT : claims;
        answers = answers == null ? AnswerRetention.DEFAULT : answers;
        links = links == null ? LinkTimes.DEFAULT : links;
        unservableGraceMilliseconds =
                unservableGraceMilliseconds == 0 ? DEFAULT_UNSERVABLE_GRACE_MILLISECONDS : unservableGraceMilliseconds;
        drainTimeoutMilliseconds =
                drainTimeoutMilliseconds == 0 ? DEFAULT_DRAIN_TIMEOUT_MILLISECONDS : drainTimeoutMilliseconds;
    }

    /**
     * Bounds on what a request may bring.
     *
     * @param maximumBodyBytes the largest body
     * @param maximumHeaderBytes the largest header block
     * @param maximumTasks the most tasks of one job
     * @param maximumDeadlineMilliseconds the longest deadline
     */
    public record RequestBounds(
            int maximumBodyBytes, int maximumHeaderBytes, int maximumTasks, int maximumDeadlineMilliseconds) {
        /** The bounds where the settings give none. */
        public static final RequestBounds DEFAULT = new RequestBounds(4 * 1024 * 1024, 8 * 1024, 1_800, 600_000);
    }

    /**
     * How durable claims are written.
     *
     * @param batchIntervalMilliseconds the least time between two transactions, in which claims gather
     * @param timeoutMilliseconds how long a client may wait for its claim before it is refused
     * @param maximumBatch the most claims in one transaction
     * @param expiryMilliseconds how long a claim is kept
     */
    public record ClaimTimes(
            int batchIntervalMilliseconds, int timeoutMilliseconds, int maximumBatch, long expiryMilliseconds) {
        /** The times where the settings give none. */
        public static final ClaimTimes DEFAULT = new ClaimTimes(0, 2_000, 500, 86_400_000L);
    }

    /**
     * How long answers are kept for resubmissions.
     *
     * @param milliseconds how long at most
     * @param maximumBytes how many bytes of answers at most
     */
    public record AnswerRetention(long milliseconds, long maximumBytes) {
        /** The bounds where the settings give none. */
        public static final AnswerRetention DEFAULT = new AnswerRetention(600_000, 64L * 1024 * 1024);
    }
}
