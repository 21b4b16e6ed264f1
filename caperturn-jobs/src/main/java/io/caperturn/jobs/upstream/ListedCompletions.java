package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.RunIdentity;
import java.util.TreeMap;

/**
 * Completions that one incarnation of the upstream has listed, by their numbers, which start again with each
 * incarnation. The upstream discards completions up to the number that is acknowledged to it.
 */
final class ListedCompletions {
    /** Completions that the upstream must not discard yet, by their numbers. */
    private final TreeMap<Long, RunIdentity> unconfirmed = new TreeMap<>();
    /** Highest number of a completion that the upstream has listed. */
    private long highestNumber;
    /** Highest number of a completion that an owner has confirmed as stored. */
    private long highestStoredNumber;

    /** Number up to which completions have been acknowledged to the upstream. */
    private long acknowledgedUpTo;

    /** Records a completion that the upstream listed; returns false if it was recorded before. */
    boolean record(long number, RunIdentity run) {
        if (number <= highestNumber) {
            return false;
        }
        highestNumber = number;
        unconfirmed.put(number, run);
        return true;
    }

    /**
     * Allows the upstream to discard a completion; returns false if this was allowed before, or if the number is that
     * of another run, in another incarnation.
     */
    boolean confirm(long number, RunIdentity run) {
        return unconfirmed.remove(number, run);
    }

    /** Records that an owner has confirmed a completion as stored, in the present or an earlier incarnation. */
    void recordStored(long number, RunIdentity run) {
        if (isUnconfirmed(number, run)) {
            highestStoredNumber = Math.max(highestStoredNumber, number);
        }
    }

    /** Returns whether the upstream must not discard a completion yet. */
    boolean isUnconfirmed(long number, RunIdentity run) {
        return run.equals(unconfirmed.get(number));
    }

    /** Returns whether a completion is not confirmed, but a later one is stored. */
    boolean isOvertaken(long number, RunIdentity run) {
        return number < highestStoredNumber && isUnconfirmed(number, run);
    }

    /** Returns the number of completions that the upstream must not discard yet. */
    int unconfirmedCount() {
        return unconfirmed.size();
    }

    /** Returns the number up to which the upstream may discard completions. */
    long acknowledgeableUpTo() {
        return unconfirmed.isEmpty() ? highestNumber : unconfirmed.firstKey() - 1;
    }

    long acknowledgedUpTo() {
        return acknowledgedUpTo;
    }

    void setAcknowledgedUpTo(long number) {
        acknowledgedUpTo = Math.max(acknowledgedUpTo, number);
    }
}
