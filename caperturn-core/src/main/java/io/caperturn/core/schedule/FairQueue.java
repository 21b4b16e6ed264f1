package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Start-time fair queue: orders its members by start tag, lowest first.
 *
 * <p>A member's start tag grows by the service that is charged to the member. The virtual time is the highest start tag
 * of a served member. A member that was idle rejoins at the virtual time, so it gains no credit for its idle time.
 *
 * @param <M> the type of members
 */
final class FairQueue<M extends FairQueue.Member> implements Iterable<M> {
    private final NavigableSet<M> members = new TreeSet<>(
            Comparator.comparingDouble((M member) -> member.startTag()).thenComparingInt(Member::sequence));
    private double virtualTime;

    /** Base class of members; holds their start tag, which only the queue changes. */
    abstract static class Member {
        private final int sequence;
        private double startTag;
        private boolean queued;

        Member(int sequence) {
            this.sequence = sequence;
        }

        final double startTag() {
            return startTag;
        }

        final int sequence() {
            return sequence;
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

    /** Records that a member is served: advances the virtual time to the start tag of the member. */
    void startService(M member) {
        virtualTime = Math.max(virtualTime, member.startTag());
    }

    /** Charges service to a member; a negative amount corrects an earlier charge. */
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

    /** Advances a member whose own limits keep it from being served to the virtual time, so that it gains no credit. */
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
