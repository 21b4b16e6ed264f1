package io.caperturn.jobs;

import io.caperturn.jobs.message.JobFrame;

/** Port to the links with other processes. */
public interface LinkPort {
    /**
     * Sends a frame; it is dropped if there is no link.
     *
     * @param incarnation the process that is meant
     * @param frame the frame
     */
    void send(String incarnation, JobFrame frame);
}
