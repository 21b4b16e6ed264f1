package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.MemberRecord;

/** What an entry wants of its process. */
public interface EntryHost {
    /**
     * Links to another process should be kept.
     *
     * @param member the process
     */
    void connect(MemberRecord member);

    /**
     * Links to a life of a process are of no use any more.
     *
     * @param member the process
     */
    void disconnect(MemberRecord member);

    /** This entry was declared lost; the process goes on with a new one. */
    void declaredLost();
}
