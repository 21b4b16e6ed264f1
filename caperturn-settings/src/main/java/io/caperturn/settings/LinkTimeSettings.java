package io.caperturn.settings;

/**
 * Times of links, the connections between processes.
 *
 * @param heartbeatIntervalMilliseconds the time without a sent frame after which a heartbeat is sent
 * @param silenceTimeoutMilliseconds the time without a received frame after which a link is closed and reopened; longer
 *     than the heartbeat interval
 * @param reconnectDelayMilliseconds the mean time between two attempts to open a link; the actual time is random, up to
 *     half less or more
 */
public record LinkTimeSettings(
        int heartbeatIntervalMilliseconds, int silenceTimeoutMilliseconds, int reconnectDelayMilliseconds) {
    /** Default times. */
    public static final LinkTimeSettings DEFAULT = new LinkTimeSettings(1_000, 3_500, 250);

    /** Checks that the silence time-out exceeds the heartbeat interval. */
    public LinkTimeSettings {
        if (silenceTimeoutMilliseconds <= heartbeatIntervalMilliseconds) {
            throw new IllegalArgumentException("silenceTimeoutMilliseconds must exceed heartbeatIntervalMilliseconds");
        }
    }
}
