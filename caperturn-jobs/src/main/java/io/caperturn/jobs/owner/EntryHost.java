package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.MemberRecord;

/** Callbacks from the decision logic of an entry to the process that runs it. */
public interface EntryHost {
    /**
     * Asks for links to another process to be kept open.
     *
     * @param member the process
     */
    void connect(MemberRecord member);

    /**
     * Asks for links to an incarnation of a process to be closed, because that incarnation has ended.
     *
     * @param member the incarnation of the process
     */
    void disconnect(MemberRecord member);

    /**
     * Reports that another entry has declared this one lost; the process has to create a new {@link EntryController}.
     */
    void declaredLost();
}
