package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/** Part of each limit that falls to one entry; the parts of all entries of a membership sum to the limit. */
public sealed interface LimitShare {
    /**
     * Returns this entry's part of a limit.
     *
     * @param limit the limit over the whole system
     * @return the part, from 0 to the limit
     */
    int of(int limit);

    /** The whole limit: there is no other entry. */
    record Whole() implements LimitShare {
        @Override
        public int of(int limit) {
            return limit;
        }
    }

    /** Nothing: the entry is not, or not yet, a member. */
    record None() implements LimitShare {
        @Override
        public int of(int limit) {
            return 0;
        }
    }

    /**
     * An equal part, the remainder going to the entries of the lowest ranks.
     *
     * @param membership the version of the membership that rank and count were read from
     * @param rank this entry's rank among the live entries, from 0
     * @param entries how many live entries there are
     * @param lease how long the part may be used after its confirmation; the same at all entries
     */
    record EqualPart(long membership, int rank, int entries, Duration lease) implements LimitShare {
        /** Checks the ranges. */
        public EqualPart {
            Objects.requireNonNull(lease, "lease");
            if (rank < 0 || rank >= entries || lease.isNegative() || lease.isZero()) {
                throw new IllegalArgumentException("rank must be within the entries and the lease positive");
            }
        }

        @Override
        public int of(int limit) {
            return limit / entries + (rank < limit % entries ? 1 : 0);
        }
    }
}
