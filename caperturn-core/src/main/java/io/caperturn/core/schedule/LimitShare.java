package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/**
 * Share of each limit that one entry (a process that accepts submissions) may use.
 *
 * <p>A membership is a version of the set of live entries. The shares of all entries of one membership add up to the
 * limit.
 */
public sealed interface LimitShare {
    /**
     * Returns this entry's share of a limit.
     *
     * @param limit the limit for the whole system
     * @return the share, from 0 to the limit
     */
    int of(int limit);

    /** The whole limit, used when there is no other entry. */
    record Whole() implements LimitShare {
        @Override
        public int of(int limit) {
            return limit;
        }
    }

    /** No share of the limit: the entry is not, or not yet, in the membership. */
    record None() implements LimitShare {
        @Override
        public int of(int limit) {
            return 0;
        }
    }

    /**
     * An equal share, rounded down; the entries with the lowest ranks get one more each until the remainder is used up.
     *
     * @param membership the version of the membership that gives the rank and the number of entries
     * @param rank this entry's rank among the live entries, from 0
     * @param entries the number of live entries
     * @param lease how long the share may be used after it was confirmed, the same at all entries
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
