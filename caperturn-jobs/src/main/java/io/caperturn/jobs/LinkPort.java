package io.caperturn.jobs;

import io.caperturn.jobs.message.JobFrame;

/** Port for sending frames (messages) over links, the connections to other processes. */
public interface LinkPort {
    /**
     * Sends a frame; drops it if there is no link to the receiver.
     *
     * @param incarnation identifier of the start of the receiving process
     * @param frame the frame
     */
    void send(String incarnation, JobFrame frame);
}
