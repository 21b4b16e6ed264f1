package io.caperturn.wire;

import io.caperturn.wire.message.Frame;

/** Listener for events of links; called on network threads and must not block. */
public interface LinkListener {
    /**
     * Called when a link has opened and its peer has identified itself.
     *
     * @param link the link
     */
    void onOpened(Link link);

    /**
     * Called when a frame other than a hello or a heartbeat has arrived.
     *
     * @param link the link
     * @param frame the frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * Called when a link has closed, failed or timed out; no more frames arrive on it.
     *
     * @param link the link
     * @param reason one-line description for people
     */
    void onClosed(Link link, String reason);
}
