package io.caperturn.jobs.owner;

import java.util.Comparator;

/**
 * Ranking of the instances of a service, by which some of them are set apart for certain tasks. It depends on names
 * only, so that all entries (processes that accept jobs) agree without a message, and a restart changes nothing.
 */
final class UpstreamRanking {
    /** Multiplier of the finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, 2014), which spreads similar names. */
    private static final long SPREAD_MULTIPLIER = 0xBF58476D1CE4E5B9L;

    private UpstreamRanking() {}

    /** Returns the order of the names of the instances of a service. */
    static Comparator<String> of(String service) {
        return Comparator.comparingLong((String node) -> spread(31L * service.hashCode() + node.hashCode()))
                .thenComparing(Comparator.naturalOrder());
    }

    private static long spread(long hash) {
        long mixed = (hash ^ hash >>> 30) * SPREAD_MULTIPLIER;
        return mixed ^ mixed >>> 27;
    }
}
