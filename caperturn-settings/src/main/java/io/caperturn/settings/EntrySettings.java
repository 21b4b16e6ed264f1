package io.caperturn.settings;

import java.util.Objects;

/**
 * Settings of an entry, the process that accepts jobs (submissions) from callers and sends their tasks to sidecars.
 *
 * @param name the name of the process, unique in the system
 * @param availabilityZone the availability zone that the process runs in
 * @param httpAddress the address of the HTTP interface for callers and operators, {@code host:port}; port 0 for any
 *     free port
 * @param linkAddress the address on which the entry accepts links, the connections from sidecars and other entries,
 *     {@code host:port}; port 0 for any free port
 * @param platformAddress the address of the platform's store, the transactional service that holds the rows of claims
 *     and of the operators' table of kinds and teams, {@code host:port}
 * @param requests bounds of requests
 * @param claims times and bounds of the writer of durable claims, the rows by which one entry owns a submission
 * @param answers bounds on the answers that are kept so that a resubmission gets the same answer
 * @param links heartbeat interval, silence time-out and reconnect delay of links
 * @param unservableGraceMilliseconds the time for which a kind (named class of work) may be without an upstream that
 *     serves it; then its waiting tasks fail
 * @param drainTimeoutMilliseconds the maximum wait for accepted work at a planned stop
 */
public record EntrySettings(
        String name,
        String availabilityZone,
        String httpAddress,
        String linkAddress,
        String platformAddress,
        RequestBounds requests,
        ClaimSettings claims,
        AnswerRetention answers,
        LinkTimeSettings links,
        int unservableGraceMilliseconds,
        int drainTimeoutMilliseconds)
        implements Settings {
    /** Default grace period for kinds without upstreams, in milliseconds. */
    public static final int DEFAULT_UNSERVABLE_GRACE_MILLISECONDS = 3_000;

    /** Default drain time-out, in milliseconds. */
    public static final int DEFAULT_DRAIN_TIMEOUT_MILLISECONDS = 30_000;

    /** Checks that the required values are not null, and fills in defaults. */
    public EntrySettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(platformAddress, "platformAddress");
        requests = requests == null ? RequestBounds.DEFAULT : requests;
        claims = claims == null ? ClaimSettings.DEFAULT : claims;
        answers = answers == null ? AnswerRetention.DEFAULT : answers;
        links = links == null ? LinkTimeSettings.DEFAULT : links;
        // A number that is absent from the JSON is bound as 0.
        unservableGraceMilliseconds =
                unservableGraceMilliseconds == 0 ? DEFAULT_UNSERVABLE_GRACE_MILLISECONDS : unservableGraceMilliseconds;
        drainTimeoutMilliseconds =
                drainTimeoutMilliseconds == 0 ? DEFAULT_DRAIN_TIMEOUT_MILLISECONDS : drainTimeoutMilliseconds;
    }

    /**
     * Bounds of requests.
     *
     * @param maximumBodyBytes the maximum size of the body in bytes
     * @param maximumHeaderBytes the maximum size of all headers in bytes
     * @param maximumTasks the maximum number of tasks of one job
     * @param maximumDeadlineMilliseconds the maximum time from a request to its deadline, in milliseconds
     */
    public record RequestBounds(
            int maximumBodyBytes, int maximumHeaderBytes, int maximumTasks, int maximumDeadlineMilliseconds) {
        /** Default bounds. */
        public static final RequestBounds DEFAULT = new RequestBounds(4 * 1024 * 1024, 8 * 1024, 1_800, 600_000);
    }

    /**
     * Times and bounds of the writer of durable claims, the rows that give an entry the right to run a submission.
     *
     * @param batchIntervalMilliseconds the minimum time between two transactions, during which claims are collected
     * @param timeoutMilliseconds the maximum time that a request waits for its claim before it is refused
     * @param maximumBatch the maximum number of claims in one transaction
     * @param expiryMilliseconds the time after which a claim expires
     */
    public record ClaimSettings(
            int batchIntervalMilliseconds, int timeoutMilliseconds, int maximumBatch, long expiryMilliseconds) {
        /** Default times and bounds. */
        public static final ClaimSettings DEFAULT = new ClaimSettings(0, 2_000, 500, 86_400_000L);
    }

    /**
     * Bounds on the answers that are kept for callers that submit a job again.
     *
     * @param milliseconds the maximum time that an answer is kept
     * @param maximumBytes the maximum number of bytes of answers kept
     */
    public record AnswerRetention(long milliseconds, long maximumBytes) {
        /** Default bounds. */
        public static final AnswerRetention DEFAULT = new AnswerRetention(600_000, 64L * 1024 * 1024);
    }
}
