package io.caperturn.wire;

import io.caperturn.wire.message.Role;
import java.time.Duration;
import java.util.Objects;

/**
 * What a process says of itself on its links, and how it keeps them.
 *
 * @param self who this process is
 * @param heartbeatInterval how long a link may be idle before a heartbeat is sent
 * @param silenceTimeout how long a link may be silent before it is closed and replaced
 * @param reconnectDelay the least time between two attempts to open a link
 * @param maximumFrameBytes the largest frame accepted
 */
public record LinkSettings(
        Peer self,
        Duration heartbeatInterval,
        Duration silenceTimeout,
        Duration reconnectDelay,
        int maximumFrameBytes) {
    /** Checks the relations between the times. */
    public LinkSettings {
        Objects.requireNonNull(self, "self");
        if (self.role() == Role.UNRECOGNIZED || silenceTimeout.compareTo(heartbeatInterval) <= 0) {
            throw new IllegalArgumentException("the silence timeout must exceed the heartbeat interval");
        }
    }
}
