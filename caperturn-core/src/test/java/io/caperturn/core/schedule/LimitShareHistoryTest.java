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

/** Tests how entries (the processes that accept submissions) divide a limit among them without exceeding it. */
class LimitShareHistoryTest {
    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final Duration USAGE_DURATION = Duration.ofSeconds(5);
    private static final int STEP_MILLISECONDS = 50;

    @ParameterizedTest
    @CsvSource({"10, 3", "1, 3", "0, 3", "7, 7", "1000, 1", "5, 11"})
    void partsSumToTheLimit(int limit, int entries) {
        int sum = IntStream.range(0, entries)
                .map(rank -> new LimitShare.EqualPart(1, rank, entries, LEASE).of(limit))
                .sum();
        assertEquals(limit, sum);
    }

    @Test
    void smallerPartAppliesImmediately() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualPart(2, 0, 2, LEASE), Instant.EPOCH);
        assertEquals(5, shares.of(10, USAGE_DURATION, 0));
    }

    @Test
    void largerPartAppliesAfterLeaseAndUsageDuration() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.EqualPart(1, 0, 2, LEASE));
        long wait = LEASE.plus(USAGE_DURATION).toNanos();
        for (long second = 0; second <= 8; second++) {
            shares.confirm(new LimitShare.EqualPart(2, 0, 1, LEASE), Instant.ofEpochSecond(second));
        }
        assertEquals(5, shares.of(10, USAGE_DURATION, wait - 1));
        assertEquals(10, shares.of(10, USAGE_DURATION, wait));
    }

    @Test
    void unconfirmedPartExpires() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualPart(1, 0, 1, LEASE), Instant.EPOCH);
        assertEquals(0, shares.of(10, USAGE_DURATION, LEASE.toNanos()));
    }

    /**
     * Three entries read the membership at random intervals. One is paused, is removed from the membership, and resumes
     * with the part that it held before the pause; the sum of running tasks must stay within the limit throughout.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void limitHoldsWithThreeEntriesAndOnePausedAndResumed(long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        int limit = 1 + random.nextInt(12);
        List<SimulatedEntry> entries = new ArrayList<>();
        for (int rank = 0; rank < 3; rank++) {
            entries.add(new SimulatedEntry(rank));
        }
        List<Integer> members = new ArrayList<>(List.of(0, 1, 2));
        long version = 1;
        int pausedFrom = 30_000 + random.nextInt(5_000);
        int pausedUntil = pausedFrom + 1_000 + random.nextInt(20_000);
        int maximumRunning = 0;
        for (int nowMilliseconds = 0; nowMilliseconds < 120_000; nowMilliseconds += STEP_MILLISECONDS) {
            boolean paused = nowMilliseconds >= pausedFrom && nowMilliseconds < pausedUntil;
            if (nowMilliseconds >= pausedFrom + 4_000 && paused && members.remove(Integer.valueOf(2))) {
                version++;
            }
            if (nowMilliseconds >= pausedUntil + random.nextInt(3_000) && !members.contains(2)) {
                members.add(2);
                version++;
            }
            int running = 0;
            for (SimulatedEntry entry : entries) {
                boolean isRunning = !(paused && entry.number == 2);
                entry.step(isRunning, members, version, limit, nowMilliseconds, random);
                running += entry.finishTimes.size();
            }
            assertTrue(running <= limit, running + " running, limit " + limit + " at " + nowMilliseconds + " ms");
            maximumRunning = Math.max(maximumRunning, running);
        }
        assertEquals(limit, maximumRunning, "the limit is used in full");
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

        private void step(
                boolean isRunning,
                List<Integer> members,
                long version,
                int limit,
                int nowMilliseconds,
                RandomGenerator random) {
            finishTimes.removeIf(end -> end <= nowMilliseconds);
            if (!isRunning) {
                return;
            }
            // Starts tasks before reading the membership again, as an entry may do when it resumes after a pause.
            start(limit, nowMilliseconds, random);
            if (nowMilliseconds >= nextMembershipReadMilliseconds) {
                nextMembershipReadMilliseconds = nowMilliseconds + 500 + random.nextInt(1_000);
                Instant now = Instant.ofEpochMilli(nowMilliseconds);
                int rank = members.indexOf(number);
                shares.confirm(
                        rank < 0
                                ? new LimitShare.None()
                                : new LimitShare.EqualPart(version, rank, members.size(), LEASE),
                        now);
            }
        }

        private void start(int limit, int nowMilliseconds, RandomGenerator random) {
            int share = shares.of(limit, USAGE_DURATION, nowMilliseconds * 1_000_000L);
            while (finishTimes.size() < share) {
                finishTimes.add(nowMilliseconds + 50 + random.nextInt((int) USAGE_DURATION.toMillis() - 50));
            }
        }
    }
}
