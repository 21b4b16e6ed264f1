package io.caperturn.jobs;

import io.caperturn.jobs.message.Frame;

/** Port for sending frames to other processes. */
public interface LinkPort {
    /**
     * Sends a frame; drops it if there is no link to the receiver.
     *
     * @param incarnation incarnation of the receiving process
     * @param frame the frame
     */
    void send(String incarnation, Frame frame);
}
