package io.caperturn.entry.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.store.registry.Member;
import io.caperturn.store.registry.MembershipRepository;
import io.caperturn.store.registry.MembershipResult;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Membership of this entry process in the set of running entry processes, held by a lease in the store, and its view of
 * the other members.
 *
 * <p>A member that has not renewed its lease for {@link #REMOVAL_TIMEOUT}, measured by this entry's own clock, is
 * removed; clocks of different processes are never compared. Confined to the thread of the {@link RegistryService}.
 */
final class EntryMembership {
    /** Interval between two renewals of the lease, each followed by a listing of the members. */
    static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(5);

    /** Time for which this entry may use its share of the operators' limits after the share was confirmed. */
    private static final Duration LIMIT_SHARE_VALIDITY = Duration.ofSeconds(15);

    private static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(30);

    private final MembershipRepository store;
    private final ProcessId self;
    private final String availabilityZone;
    /** Time at which each member, including its renewal count, was listed first; a renewal thus restarts the time. */
    private final Map<Member, Instant> firstListedAt = new HashMap<>();

    /** This entry as a member, null while it is none. */
    private Member ownMember;

    private List<Member> members = List.of();

    EntryMembership(MembershipRepository store, ProcessId self, String availabilityZone) {
        this.store = store;
        this.self = self;
        this.availabilityZone = availabilityZone;
    }

    /** Returns the other members as of the last listing. */
    List<Member> otherMembers() {
        return members.stream()
                .filter(other -> !other.process().name().equals(self.name()))
                .toList();
    }

    /**
     * Renews the lease, lists the members and removes those whose lease has expired.
     *
     * @param linkAddress the address at which this entry accepts links, {@code host:port}
     * @param now the current time
     * @return this entry's share of the limits, the part of each limit that it may use; empty if the store did not
     *     answer or this entry is no longer a member
     */
    Optional<LimitShare> refresh(String linkAddress, Instant now) {
        if (!renew(linkAddress)) {
            return Optional.empty();
        }
        if (!(store.list() instanceof MembershipResult.Members(long version, List<Member> listed))) {
            return Optional.empty();
        }
        members = listed;
        firstListedAt.keySet().retainAll(listed);
        listed.forEach(listedMember -> firstListedAt.putIfAbsent(listedMember, now));
        otherMembers().stream()
                .filter(other -> !now.isBefore(firstListedAt.get(other).plus(REMOVAL_TIMEOUT)))
                .forEach(store::remove);
        List<ProcessId> processes = listed.stream().map(Member::process).toList();
        int rank = processes.indexOf(self);
        return rank < 0
                ? Optional.empty()
                : Optional.of(new LimitShare.EqualShare(version, rank, processes.size(), LIMIT_SHARE_VALIDITY));
    }

    /** Ends the membership at a planned stop, so that other entries need not wait for the lease to expire. */
    void leave() {
        if (ownMember != null) {
            store.remove(ownMember);
        }
    }

    private boolean renew(String linkAddress) {
        if (ownMember == null) {
            Member newMember = new Member(self, linkAddress, availabilityZone, /* renewalCount= */ 0);
            if (!(store.join(newMember) instanceof MembershipResult.Done)) {
                return false;
            }
            ownMember = newMember;
            return true;
        }
        Member renewed = new Member(self, linkAddress, availabilityZone, ownMember.renewalCount() + 1);
        return switch (store.renew(renewed)) {
            case MembershipResult.Done() -> {
                ownMember = renewed;
                yield true;
            }
            case MembershipResult.NotMember() -> {
                ownMember = null;
                yield false;
            }
            case MembershipResult.Members ignored -> false;
            case MembershipResult.Failed ignored -> {
                // The renewal may have taken effect, so the next one needs a higher renewal count.
                ownMember = renewed;
                yield false;
            }
        };
    }
}
