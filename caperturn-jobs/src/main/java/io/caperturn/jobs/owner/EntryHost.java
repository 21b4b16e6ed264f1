package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.MemberRecord;

/**
 * Callbacks from the decision logic of an entry to the process that runs it. An entry is a process that accepts jobs;
 * an incarnation is one start of a process.
 */
public interface EntryHost {
    /**
     * Asks for links (connections) to another process to be kept open.
     *
     * @param member record of the process, with its address
     */
    void connect(MemberRecord member);

    /**
     * Asks for the links to an incarnation of a process to be closed, because it has ended.
     *
     * @param member record of the incarnation that has ended
     */
    void disconnect(MemberRecord member);

    /**
     * Reports that another entry has declared this one lost; the process has to create a new {@link EntryController}.
     */
    void handleDeclaredLost();
}
