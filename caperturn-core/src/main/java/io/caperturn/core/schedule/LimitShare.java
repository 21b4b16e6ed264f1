package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/**
 * Share that one entry (a process that accepts submissions) may use of each limit of the whole system.
 *
 * <p>The membership is the set of live entries; its version grows with each change. The shares of all entries in one
 * version add up to the limit.
 */
public sealed interface LimitShare {
    /**
     * Returns this entry's share of a limit.
     *
     * @param limit the limit for the whole system
     * @return the share, from 0 to the limit
     */
    int shareOf(int limit);

    /** All of the limit; used if there is no other entry. */
    record Whole() implements LimitShare {
        @Override
        public int shareOf(int limit) {
            return limit;
        }
    }

    /** No share of the limit: the entry is not, or not yet, in the membership. */
    record None() implements LimitShare {
        @Override
        public int shareOf(int limit) {
            return 0;
        }
    }

    /**
     * An equal share of the limit, rounded down; the entries with the lowest ranks get one more each, so that the
     * shares add up to the limit.
     *
     * @param membershipVersion the version of the membership to which the rank and the number of entries belong
     * @param rank this entry's rank among the live entries, from 0
     * @param entryCount the number of live entries
     * @param lease how long the share may be used after it was confirmed; the same at all entries
     */
    record EqualShare(long membershipVersion, int rank, int entryCount, Duration lease) implements LimitShare {
        /** Checks that the components are within their ranges. */
        public EqualShare {
            Objects.requireNonNull(lease, "lease");
            if (rank < 0 || rank >= entryCount || lease.isNegative() || lease.isZero()) {
                throw new IllegalArgumentException("rank must be within [0, entryCount) and lease positive");
            }
        }

        @Override
        public int shareOf(int limit) {
            return limit / entryCount + (rank < limit % entryCount ? 1 : 0);
        }
    }
}
