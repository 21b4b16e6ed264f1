package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the entries (processes that accept submissions) divide a limit among them without exceeding it. */
class LimitShareHistoryTest {
    /** How long a confirmed share may be used. */
    private static final Duration LEASE = Duration.ofSeconds(3);
    /** The maximum time for which one task counts against the limit. */
    private static final Duration USAGE_DURATION = Duration.ofSeconds(5);

    private static final int STEP_MILLISECONDS = 50;

    @ParameterizedTest
    @CsvSource({"10, 3", "1, 3", "0, 3", "7, 7", "1000, 1", "5, 11"})
    void equalSharesSumToTheLimit(int limit, int entries) {
        int sum = IntStream.range(0, entries)
                .map(rank -> new LimitShare.EqualShare(/* membershipVersion= */ 1, rank, entries, LEASE).shareOf(limit))
                .sum();
        assertEquals(limit, sum);
    }

    @Test
    void smallerShareAppliesImmediately() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualShare(2, /* rank= */ 0, /* entryCount= */ 2, LEASE), Instant.EPOCH);
        assertEquals(5, shares.shareOf(/* limit= */ 10, USAGE_DURATION, /* now= */ 0));
    }

    @Test
    void largerShareAppliesAfterLeaseAndUsageDuration() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.EqualShare(1, 0, 2, LEASE));
        long wait = LEASE.plus(USAGE_DURATION).toNanos();
        for (long second = 0; second <= 8; second++) {
            shares.confirm(new LimitShare.EqualShare(2, 0, 1, LEASE), Instant.ofEpochSecond(second));
        }
        assertEquals(5, shares.shareOf(10, USAGE_DURATION, wait - 1));
        assertEquals(10, shares.shareOf(10, USAGE_DURATION, wait));
    }

    @Test
    void shareIsZeroAfterItsLeaseExpires() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualShare(1, 0, 1, LEASE), Instant.EPOCH);
        assertEquals(0, shares.shareOf(10, USAGE_DURATION, LEASE.toNanos()));
    }

    /**
     * Three entries read the membership (the set of live entries) at random intervals. Entry 2 is paused, is removed
     * from the membership, and resumes with the share that it had before the pause. The number of tasks that run at all
     * entries must stay within the limit throughout.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void limitIsNotExceededWhenOneOfThreeEntriesIsPausedAndResumed(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int limit = 1 + random.nextInt(12);
        List<SimulatedEntry> entries = new ArrayList<>();
        for (int rank = 0; rank < 3; rank++) {
            entries.add(new SimulatedEntry(rank));
        }
        List<Integer> members = new ArrayList<>(List.of(0, 1, 2));
        long membershipVersion = 1;
        int pausedFromMilliseconds = 30_000 + random.nextInt(5_000);
        int pausedUntilMilliseconds = pausedFromMilliseconds + 1_000 + random.nextInt(20_000);
        int maximumRunningTasks = 0;
        for (int nowMilliseconds = 0; nowMilliseconds < 120_000; nowMilliseconds += STEP_MILLISECONDS) {
            boolean paused = nowMilliseconds >= pausedFromMilliseconds && nowMilliseconds < pausedUntilMilliseconds;
            if (nowMilliseconds >= pausedFromMilliseconds + 4_000 && paused && members.remove(Integer.valueOf(2))) {
                membershipVersion++;
            }
            if (nowMilliseconds >= pausedUntilMilliseconds + random.nextInt(3_000) && !members.contains(2)) {
                members.add(2);
                membershipVersion++;
            }
            int runningTasks = 0;
            for (SimulatedEntry entry : entries) {
                boolean isActive = !(paused && entry.number == 2);
                entry.step(isActive, members, membershipVersion, limit, nowMilliseconds, random);
                runningTasks += entry.finishTimes.size();
            }
            assertTrue(
                    runningTasks <= limit,
                    runningTasks + " running, limit " + limit + " at " + nowMilliseconds + " ms");
            maximumRunningTasks = Math.max(maximumRunningTasks, runningTasks);
        }
        assertEquals(limit, maximumRunningTasks, "the limit is never used in full");
    }

    /** Entry that starts as many tasks as its share allows. */
    private static final class SimulatedEntry {
        private final int number;
        private final LimitShareHistory shares = new LimitShareHistory(new LimitShare.None());
        /** Finish times of the running tasks, in milliseconds. */
        private final List<Integer> finishTimes = new ArrayList<>();

        private int nextMembershipReadMilliseconds;

        private SimulatedEntry(int number) {
            this.number = number;
        }

        /**
         * Removes finished tasks and, unless the entry is paused, starts tasks and reads the membership if it is time.
         */
        private void step(
                boolean isActive,
                List<Integer> members,
                long membershipVersion,
                int limit,
                int nowMilliseconds,
                RandomGenerator random) {
            finishTimes.removeIf(end -> end <= nowMilliseconds);
            if (!isActive) {
                return;
            }
            // Starts tasks before it reads the membership again, as an entry can do when it resumes after a pause.
            start(limit, nowMilliseconds, random);
            if (nowMilliseconds >= nextMembershipReadMilliseconds) {
                nextMembershipReadMilliseconds = nowMilliseconds + 500 + random.nextInt(1_000);
                Instant now = Instant.ofEpochMilli(nowMilliseconds);
                int rank = members.indexOf(number);
                shares.confirm(
                        rank < 0
                                ? new LimitShare.None()
                                : new LimitShare.EqualShare(membershipVersion, rank, members.size(), LEASE),
                        now);
            }
        }

        private void start(int limit, int nowMilliseconds, RandomGenerator random) {
            int share = shares.shareOf(limit, USAGE_DURATION, nowMilliseconds * 1_000_000L);
            while (finishTimes.size() < share) {
                finishTimes.add(nowMilliseconds + 50 + random.nextInt((int) USAGE_DURATION.toMillis() - 50));
            }
        }
    }
}
