package io.caperturn.wire;

/** Source and sink of what every frame carries besides its body. */
public interface FrameStamp {
    /**
     * Returns the version of the table in force here.
     *
     * @return the version, 0 before any is known
     */
    long tableVersion();

    /**
     * Returns the age of the newest confirmation from the store that this process knows of, its own or heard.
     *
     * @return the age in milliseconds, -1 if it knows of none
     */
    long confirmationAgeMilliseconds();

    /**
     * Takes note of what a received frame carried.
     *
     * @param link the link on which it came
     * @param tableVersion the sender's table version
     * @param confirmationAgeMilliseconds the age that the sender knew of, -1 if none
     */
    void observe(Link link, long tableVersion, long confirmationAgeMilliseconds);
}
