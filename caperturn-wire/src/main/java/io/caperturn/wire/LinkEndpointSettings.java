package io.caperturn.wire;

import io.caperturn.wire.message.Role;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link LinkEndpoint}: the identity of its process, and times and bounds of its links (connections to
 * other processes).
 *
 * @param self this process, as its hello frame, the first on each link, identifies it
 * @param heartbeatInterval the time without a sent frame after which a heartbeat is sent
 * @param silenceTimeout the time without a received frame after which a link is closed, and reopened by the process
 *     that opened it
 * @param reconnectDelay the mean time between two attempts to open a link; the actual time is random, up to half less
 *     or more
 * @param maximumFrameBytes the maximum size of a received frame, in bytes
 */
public record LinkEndpointSettings(
        Peer self,
        Duration heartbeatInterval,
        Duration silenceTimeout,
        Duration reconnectDelay,
        int maximumFrameBytes) {
    /** Checks the role, and that the silence time-out exceeds the heartbeat interval. */
    public LinkEndpointSettings {
        Objects.requireNonNull(self, "self");
        if (self.role() == Role.UNRECOGNIZED || silenceTimeout.compareTo(heartbeatInterval) <= 0) {
            throw new IllegalArgumentException(
                    "the role must be known, and the silence time-out must exceed the heartbeat interval");
        }
    }
}
