package io.caperturn.store.registry;

import java.util.List;
import java.util.Objects;

/** Result of a call to the {@link MembershipRepository}, the register of running entry processes. */
public sealed interface MembershipResult {
    /** The call took effect. */
    record Done() implements MembershipResult {}

    /**
     * The members at one version of the membership.
     *
     * @param version the version, raised whenever an entry joins or is removed
     * @param members the members in the order of their names
     */
    record Members(long version, List<Member> members) implements MembershipResult {
        /** Copies the members. */
        public Members {
            members = List.copyOf(members);
        }
    }

    /** The entry is not a member, or no longer one; it has to join again. */
    record NotMember() implements MembershipResult {}

    /**
     * The store did not confirm the call; it may or may not have taken effect.
     *
     * @param detail one-line description for people
     */
    record Failed(String detail) implements MembershipResult {
        /** Checks that the detail is not null. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
