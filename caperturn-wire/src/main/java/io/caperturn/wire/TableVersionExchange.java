package io.caperturn.wire;

/**
 * Supplier of the version of the operators' table that every sent frame carries, and receiver of the versions in
 * received frames; the table holds the weights and limits that operators set.
 */
public interface TableVersionExchange {
    /**
     * Returns the version of the table that is in force in this process.
     *
     * @return the version, 0 if none is known yet
     */
    long tableVersion();

    /**
     * Returns how long ago the store last confirmed a table version, as far as this process knows from its own reads or
     * from peers.
     *
     * @return the confirmation age in milliseconds, -1 if no confirmation is known
     */
    long confirmationAgeMilliseconds();

    /**
     * Receives the table version and the confirmation age of a received frame.
     *
     * @param link the link on which the frame was received
     * @param tableVersion the sender's table version
     * @param confirmationAgeMilliseconds the confirmation age that the sender knew of, -1 if none
     */
    void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds);
}
