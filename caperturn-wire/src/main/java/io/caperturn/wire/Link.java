package io.caperturn.wire;

import io.caperturn.wire.message.Frame;

/** Open connection to another process that has said who it is. */
public interface Link {
    /**
     * Returns who is at the other end.
     *
     * @return the peer
     */
    Peer peer();

    /**
     * Queues a frame for sending; may be called from any thread.
     *
     * <p>The link itself fills in the protocol version, the table version and the confirmation age.
     *
     * @param frame the frame with its body set
     * @return false if the link is closed or its send buffer is full; the frame was then not sent
     */
    boolean send(Frame.Builder frame);

    /** Closes the link; the listener hears of it once. */
    void close();
}
