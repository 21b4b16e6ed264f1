package io.caperturn.settings;

/**
 * Times that links keep to.
 *
 * @param heartbeatIntervalMilliseconds how long a link may be idle before a heartbeat is sent
 * @param silenceTimeoutMilliseconds how long a link may be silent before it is replaced; above the heartbeat interval
 * @param reconnectDelayMilliseconds the least time between two attempts to open a link
 */
public record LinkTimes(
        int heartbeatIntervalMilliseconds, int silenceTimeoutMilliseconds, int reconnectDelayMilliseconds) {
    /** The times where the settings give none. */
    public static final LinkTimes DEFAULT = new LinkTimes(1_000, 3_500, 250);

    /** Checks the relation between the times. */
    public LinkTimes {
        if (silenceTimeoutMilliseconds <= heartbeatIntervalMilliseconds) {
            throw new IllegalArgumentException("silenceTimeoutMilliseconds must exceed heartbeatIntervalMilliseconds");
        }
    }
}
