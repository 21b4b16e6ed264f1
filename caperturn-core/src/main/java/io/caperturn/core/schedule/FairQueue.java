package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Start-time fair queue: members are served in the order of the service that they were charged for.
 *
 * <p>A member that comes back after it was idle starts at the virtual time, so it claims nothing for the time in which
 * it wanted nothing.
 *
 * @param <M> the type of members
 */
final class FairQueue<M extends FairQueue.Member> implements Iterable<M> {
    private final NavigableSet<M> members =
            new TreeSet<>(Comparator.comparingDouble((M member) -> member.tag()).thenComparingInt(Member::sequence));
    private double virtualTime;

    /** What a queue knows of a member; change it only through its queue. */
    abstract static class Member {
        private final int sequence;
        private double tag;
        private boolean queued;

        Member(int sequence) {
            this.sequence = sequence;
        }

        final double tag() {
            return tag;
        }

        final int sequence() {
            return sequence;
        }

        final boolean isQueued() {
            return queued;
        }
    }

    void add(M member) {
        Member state = member;
        if (state.queued) {
            return;
        }
        state.tag = Math.max(state.tag, virtualTime);
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

    /** Notes that the member is served now. */
    void served(M member) {
        virtualTime = Math.max(virtualTime, member.tag());
    }

    /** Charges service; a negative amount corrects an earlier charge. */
    void charge(M member, double amount) {
        Member state = member;
        if (state.queued) {
            members.remove(member);
        }
        state.tag += amount;
        if (state.queued) {
            members.add(member);
        }
    }

    /** Moves a member up to the virtual time, for one that could not be served because of its own limits. */
    void catchUp(M member) {
        double missed = virtualTime - member.tag();
        if (missed > 0) {
            charge(member, missed);
        }
    }

    boolean isBehind(M member) {
        return member.tag() <= virtualTime;
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    @Override
    public Iterator<M> iterator() {
        return members.iterator();
    }
}
