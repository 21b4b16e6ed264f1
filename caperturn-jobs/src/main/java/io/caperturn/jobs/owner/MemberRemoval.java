package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RetryBackoff;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Removal of the records of silent processes by one entry, so that all entries together write about once for each.
 *
 * <p>The entries in contact are ordered anew for each silent process, by rendezvous hashing (D. Thaler and C.
 * Ravishankar, 1998): the first removes it at once, the others only if it is still there some time later. The order
 * saves calls and is not relied on: a removal is conditional on the record.
 */
final class MemberRemoval {
    /** Delay for each entry that comes before this one in removing an entry, in milliseconds. */
    private static final long ENTRY_RANK_DELAY_MILLISECONDS = 100;
    /** Delay for each entry that comes before this one in removing a sidecar, in milliseconds; nothing waits for it. */
    private static final long SIDECAR_RANK_DELAY_MILLISECONDS = 1_000;
    /** Rank up to which entries are delayed further, so that the delay stays bounded in a large fleet. */
    private static final int LAST_DELAYED_RANK = 4;
    /** Limit of the first delay after a failed removal, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 100;
    /** Limit of every delay after a failed removal, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 1_000;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final StoreRetryBudget retries;
    private final String ownNode;
    private final Runnable removedListener;
    private final Map<String, Attempts> attemptsByIncarnation = new HashMap<>();

    /**
     * Creates a removal without silent processes.
     *
     * @param loop the loop on which all calls are made
     * @param store the store that holds the records
     * @param retries the budget of this process for repeated calls
     * @param ownNode name of the instance of this entry
     * @param removedListener called after each removal
     */
    MemberRemoval(
            DecisionLoop loop, RecordStore store, StoreRetryBudget retries, String ownNode, Runnable removedListener) {
        this.loop = loop;
        this.store = store;
        this.retries = retries;
        this.ownNode = ownNode;
        this.removedListener = removedListener;
    }

    /** Attempts to remove the record of one incarnation of a process. */
    private static final class Attempts {
        private final RetryBackoff backoff;
        private boolean inFlight;
        private int failures;
        private long nextAt = Long.MIN_VALUE;

        Attempts(RetryBackoff backoff) {
            this.backoff = backoff;
        }
    }

    /**
     * Removes the record of a silent process, if it is the turn of this entry.
     *
     * @param content the process
     * @param stored its record
     * @param silence time since the last contact, in milliseconds
     * @param timeout silence after which the process counts as lost, in milliseconds; already exceeded
     * @param entriesInContact instances of the other entries that could remove it
     */
    void handleSilence(
            MemberRecord content,
            StoredRecord stored,
            long silence,
            long timeout,
            Collection<String> entriesInContact) {
        int rank = rankAmong(entriesInContact, content.incarnation());
        long rankDelay =
                content.role() == ProcessRole.ENTRY ? ENTRY_RANK_DELAY_MILLISECONDS : SIDECAR_RANK_DELAY_MILLISECONDS;
        long turnDelay = Math.min(rank, LAST_DELAYED_RANK) * rankDelay;
        if (silence <= timeout + turnDelay) {
            return;
        }
        Attempts attempts = attemptsByIncarnation.computeIfAbsent(
                content.incarnation(),
                key -> new Attempts(retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS)));
        if (attempts.inFlight
                || loop.monotonicMilliseconds() < attempts.nextAt
                || attempts.failures > 0 && !retries.tryTake()) {
            return;
        }
        attempts.inFlight = true;
        loop.log()
                .event(
                        EventName.MEMBER_SILENT,
                        EventKey.NODE,
                        content.node(),
                        EventKey.SILENCE,
                        silence,
                        EventKey.RANK,
                        rank);
        ProcessRegistration.remove(store, stored, outcome -> handleOutcome(content, attempts, turnDelay, outcome));
    }

    private void handleOutcome(
            MemberRecord content, Attempts attempts, long turnDelay, RecordStore.WriteOutcome outcome) {
        attempts.inFlight = false;
        if (outcome instanceof RecordStore.WriteOutcome.Committed) {
            // The table tells of the removal; until then there is nothing to repeat.
            attempts.nextAt = loop.monotonicMilliseconds() + LAST_RETRY_MILLISECONDS;
            removedListener.run();
            return;
        }
        attempts.failures++;
        attempts.nextAt = loop.monotonicMilliseconds() + attempts.backoff.nextDelayMilliseconds() + turnDelay;
        loop.log().event(EventName.MEMBER_REMOVAL_FAILED, EventKey.NODE, content.node(), EventKey.OUTCOME, outcome);
    }

    /** Forgets an incarnation that is no longer in the table. */
    void forget(String incarnation) {
        attemptsByIncarnation.remove(incarnation);
    }

    /** Returns how many of the other entries come before this one in removing an incarnation. */
    private int rankAmong(Collection<String> others, String incarnation) {
        long own = weight(ownNode, incarnation);
        return (int) others.stream()
                .filter(other -> weight(other, incarnation) > own)
                .count();
    }

    private static long weight(String node, String incarnation) {
        // The generator mixes the bits of its seed well, which the sum of two hashes does not.
        return new SplittableRandom(((long) node.hashCode() << Integer.SIZE) ^ incarnation.hashCode()).nextLong();
    }
}
