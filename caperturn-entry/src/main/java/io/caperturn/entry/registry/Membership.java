package io.caperturn.entry.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.store.registry.Member;
import io.caperturn.store.registry.MembershipResult;
import io.caperturn.store.registry.MembershipStore;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * This entry's lease of its place among the entries, and its view of the others.
 *
 * <p>A member whose lease number has stayed the same for {@link #REMOVAL_TIMEOUT} by this entry's own clock is removed;
 * no two clocks are compared. Confined to the thread of the {@link RegistryService}.
 */
final class Membership {
    /** How often leases are renewed and members listed. */
    static final Duration INTERVAL = Duration.ofSeconds(5);

    private static final Duration SHARE_LEASE = Duration.ofSeconds(15);
    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(30);

    private final MembershipStore store;
    private final ProcessId self;
    private final String availabilityZone;
    private final Map<Member, Instant> firstSeen = new HashMap<>();
    private Member member;
    private List<Member> members = List.of();

    Membership(MembershipStore store, ProcessId self, String availabilityZone) {
        this.store = store;
        this.self = self;
        this.availabilityZone = availabilityZone;
    }

    /** Returns the other members as last listed. */
    List<Member> others() {
        return members.stream()
                .filter(other -> !other.process().name().equals(self.name()))
                .toList();
    }

    /**
     * Renews the lease, lists the members and removes those that are gone.
     *
     * @param linkAddress where this entry accepts links
     * @param now the time
     * @return this entry's part of the limits, empty if the store did not answer
     */
    Optional<LimitShare> refresh(String linkAddress, Instant now) {
        if (!renew(linkAddress)) {
            return Optional.empty();
        }
        if (!(store.list() instanceof MembershipResult.Members(long version, List<Member> listed))) {
            return Optional.empty();
        }
        members = listed;
        firstSeen.keySet().retainAll(listed);
        listed.forEach(seen -> firstSeen.putIfAbsent(seen, now));
        others().stream()
                .filter(other -> !now.isBefore(firstSeen.get(other).plus(REMOVAL_TIMEOUT)))
                .forEach(store::remove);
        List<ProcessId> processes = listed.stream().map(Member::process).toList();
        int rank = processes.indexOf(self);
        return rank < 0
                ? Optional.empty()
                : Optional.of(new LimitShare.EqualPart(version, rank, processes.size(), SHARE_LEASE));
    }

    /** Gives up the place at a planned stop, so that the others need not wait for the lease to lapse. */
    void leave() {
        if (member != null) {
            store.remove(member);
        }
    }

    private boolean renew(String linkAddress) {
        if (member == null) {
            Member fresh = new Member(self, linkAddress, availabilityZone, 0);
            if (!(store.join(fresh) instanceof MembershipResult.Done)) {
                return false;
            }
            member = fresh;
            return true;
        }
        Member next = new Member(self, linkAddress, availabilityZone, member.renewal() + 1);
        return switch (store.renew(next)) {
            case MembershipResult.Done() -> {
                member = next;
                yield true;
            }
            case MembershipResult.NotMember() -> {
                member = null;
                yield false;
            }
            case MembershipResult.Members ignored -> false;
            case MembershipResult.Failed ignored -> {
                member = next;
                yield false;
            }
        };
    }
}
