package io.caperturn.wire;

import io.caperturn.wire.message.Frame;

/** Receiver of what happens on links; called on network threads and must not block. */
public interface LinkListener {
    /**
     * A link opened and its peer said who it is.
     *
     * @param link the link
     */
    void onOpened(Link link);

    /**
     * A frame other than hello and heartbeat arrived.
     *
     * @param link the link
     * @param frame the frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * A link closed, broke or fell silent; nothing more arrives on it.
     *
     * @param link the link
     * @param reason one line for people
     */
    void onClosed(Link link, String reason);
}
