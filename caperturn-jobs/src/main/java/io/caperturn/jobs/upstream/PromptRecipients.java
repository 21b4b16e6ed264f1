package io.caperturn.jobs.upstream;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selector of the entries (processes that own jobs) to which a sidecar sends each change of its free resources; all
 * others learn of it from the periodic status frames.
 *
 * <p>Without this limit the number of frames for each task would grow with the number of entries, and all entries would
 * send tasks to the same free resources. Each entry is selected by about the same number of sidecars: the selection is
 * by rendezvous hashing, in which the arrival or loss of an entry changes only the selections that include it.
 */
final class PromptRecipients {
    /**
     * Maximum number of entries that a sidecar tells of each change. With fifteen entries, each of them still follows a
     * fifth of the sidecars, more than the tasks of one job need.
     */
    static final int MAXIMUM = 3;

    private final String sidecar;

    /**
     * Creates a selector.
     *
     * @param sidecar name of the instance of the sidecar, by which sidecars select different entries
     */
    PromptRecipients(String sidecar) {
        this.sidecar = sidecar;
    }

    /** Selects at most {@link #MAXIMUM} of the linked entries; the same entries lead to the same selection. */
    List<OwnerLease> select(Collection<OwnerLease> owners) {
        List<OwnerLease> linked = owners.stream().filter(OwnerLease::isLinked).toList();
        return linked.size() <= MAXIMUM
                ? linked
                : linked.stream()
                        .sorted(Comparator.comparingInt((OwnerLease owner) -> weight(owner.incarnation()))
                                .thenComparing(OwnerLease::incarnation))
                        .limit(MAXIMUM)
                        .toList();
    }

    /** Returns the weight of an entry for this sidecar: a hash of both, which spreads over all values. */
    private int weight(String entry) {
        // Multiplication and shifts as in the finalization step of MurmurHash3 by Austin Appleby, because the hash code
        // of a string changes little with its last characters.
        int hash = (sidecar + '/' + entry).hashCode();
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }
}
