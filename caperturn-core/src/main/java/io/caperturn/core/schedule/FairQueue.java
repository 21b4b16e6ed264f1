package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Start-time fair queue: orders its members by start tag, lowest first.
 *
 * <p>A member's start tag grows by the service that is charged to the member, in a unit that the caller chooses. The
 * virtual time is the highest start tag at which a member was served. A member that was idle is added again at the
 * virtual time, so that it gains no credit for its idle time.
 *
 * @param <M> the type of members, such as the queues of kinds of task
 */
final class FairQueue<M extends FairQueue.Member> implements Iterable<M> {
    private final NavigableSet<M> members = new TreeSet<>(
            Comparator.comparingDouble((M member) -> member.startTag()).thenComparingInt(Member::sequenceNumber));
    private double virtualTime;

    /** Member of a fair queue; only the queue changes the start tag. */
    abstract static class Member {
        /** Breaks ties between equal start tags; lowest first. */
        private final int sequenceNumber;

        private double startTag;
        private boolean queued;

        Member(int sequenceNumber) {
            this.sequenceNumber = sequenceNumber;
        }

        final double startTag() {
            return startTag;
        }

        final int sequenceNumber() {
            return sequenceNumber;
        }

        final boolean isQueued() {
            return queued;
        }
    }

    void add(M member) {
        // The private fields are not accessible through the type parameter.
        Member state = member;
        if (state.queued) {
            return;
        }
        state.startTag = Math.max(state.startTag, virtualTime);
        state.queued = true;
        members.add(member);
    }

    void remove(M member) {
        Member state = member;
        if (state.queued) {
            members.remove(member);
            state.queued = false;
        }
    }

    /** Records that a member is served now, which advances the virtual time to the member's start tag. */
    void startService(M member) {
        virtualTime = Math.max(virtualTime, member.startTag());
    }

    /** Adds an amount of service to a member's start tag; a negative amount corrects an earlier charge. */
    void charge(M member, double amount) {
        Member state = member;
        if (state.queued) {
            members.remove(member);
        }
        state.startTag += amount;
        if (state.queued) {
            members.add(member);
        }
    }

    /**
     * Advances the start tag of a member to the virtual time. Called for a member whose own limits keep it from being
     * served, so that it gains no credit for that time.
     */
    void advanceToVirtualTime(M member) {
        double lag = virtualTime - member.startTag();
        if (lag > 0) {
            charge(member, lag);
        }
    }

    boolean isAtOrBeforeVirtualTime(M member) {
        return member.startTag() <= virtualTime;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    @Override
    public Iterator<M> iterator() {
        return members.iterator();
    }
}
