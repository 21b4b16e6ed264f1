package io.caperturn.wire;

import io.caperturn.wire.message.Frame;

/** Open connection to another process, which has identified itself. */
public interface Link {
    /**
     * Returns the process at the other end.
     *
     * @return the peer
     */
    Peer peer();

    /**
     * Queues a frame for sending; may be called from any thread.
     *
     * <p>The link sets the frame's protocol version, and its fields from the {@link TableVersionExchange}.
     *
     * @param frame the frame with its body set
     * @return false if the frame was not sent because the link is closed or its send buffer is full; a full buffer
     *     closes the link
     */
    boolean send(Frame.Builder frame);

    /** Closes the link; the listener is notified once. */
    void close();
}
