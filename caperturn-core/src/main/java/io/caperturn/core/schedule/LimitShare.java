package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/** Part of each limit that one entry may use; the parts of all entries of one membership add up to the limit. */
public sealed interface LimitShare {
    /**
     * Returns this entry's part of a limit.
     *
     * @param limit the limit for the whole system
     * @return the part, from 0 to the limit
     */
    int of(int limit);

    /** The whole limit, used when there is no other entry. */
    record Whole() implements LimitShare {
        @Override
        public int of(int limit) {
            return limit;
        }
    }

    /** No part of the limit: the entry is not a member, or not yet. */
    record None() implements LimitShare {
        @Override
        public int of(int limit) {
            return 0;
        }
    }

    /**
     * An equal part; the entries with the lowest ranks get one more each until the remainder is used up.
     *
     * @param membership the version of the membership from which rank and count follow
     * @param rank this entry's rank among the live entries, from 0
     * @param entries the number of live entries
     * @param lease how long the part may be used after its confirmation, the same at all entries
     */
    record EqualPart(long membership, int rank, int entries, Duration lease) implements LimitShare {
        /** Checks the ranges. */
        public EqualPart {
            Objects.requireNonNull(lease, "lease");
            if (rank < 0 || rank >= entries || lease.isNegative() || lease.isZero()) {
                throw new IllegalArgumentException("rank must be within [0, entries) and lease positive");
            }
        }

        @Override
        public int of(int limit) {
            return limit / entries + (rank < limit % entries ? 1 : 0);
        }
    }
}
