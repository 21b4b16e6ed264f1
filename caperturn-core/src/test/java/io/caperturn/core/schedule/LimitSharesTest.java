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

class LimitSharesTest {
    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final Duration HORIZON = Duration.ofSeconds(5);
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
    void smallerPartBindsAtOnce() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualPart(2, 0, 2, LEASE), Instant.EPOCH);
        assertEquals(5, shares.of(10, HORIZON, 0));
    }

    @Test
    void largerPartWaitsForLeaseAndHorizon() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.EqualPart(1, 0, 2, LEASE));
        long wait = LEASE.plus(HORIZON).toNanos();
        for (long second = 0; second <= 8; second++) {
            shares.confirm(new LimitShare.EqualPart(2, 0, 1, LEASE), Instant.ofEpochSecond(second));
        }
        assertEquals(5, shares.of(10, HORIZON, wait - 1));
        assertEquals(10, shares.of(10, HORIZON, wait));
    }

    @Test
    void partThatIsNotConfirmedLapses() {
        LimitShareHistory shares = new LimitShareHistory(new LimitShare.Whole());
        shares.confirm(new LimitShare.EqualPart(1, 0, 1, LEASE), Instant.EPOCH);
        assertEquals(0, shares.of(10, HORIZON, LEASE.toNanos()));
    }

    /** Entries read the membership now and then; one is paused, is taken for dead, and comes back unaware. */
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
        int best = 0;
        for (int millis = 0; millis < 120_000; millis += STEP_MILLISECONDS) {
            boolean paused = millis >= pausedFrom && millis < pausedUntil;
            if (millis >= pausedFrom + 4_000 && paused && members.remove(Integer.valueOf(2))) {
                version++;
            }
            if (millis >= pausedUntil + random.nextInt(3_000) && !members.contains(2)) {
                members.add(2);
                version++;
            }
            int running = 0;
            for (SimulatedEntry entry : entries) {
                boolean acts = !(paused && entry.name == 2);
                entry.step(acts, members, version, limit, millis, random);
                running += entry.ends.size();
            }
            assertTrue(running <= limit, running + " running, limit " + limit + " at " + millis + " ms");
            best = Math.max(best, running);
        }
        assertEquals(limit, best, "the limit is used in full");
    }

    /** An entry that starts whatever its share allows. */
    private static final class SimulatedEntry {
        private final int name;
        private final LimitShareHistory shares = new LimitShareHistory(new LimitShare.None());
        private final List<Integer> ends = new ArrayList<>();
        private int nextReading;

        private SimulatedEntry(int name) {
            this.name = name;
        }

        private void step(
                boolean acts, List<Integer> members, long version, int limit, int millis, RandomGenerator random) {
            ends.removeIf(end -> end <= millis);
            if (!acts) {
                return;
            }
            // What was due is done before the membership is read again, as after a pause.
            start(limit, millis, random);
            if (millis >= nextReading) {
                nextReading = millis + 500 + random.nextInt(1_000);
                Instant now = Instant.ofEpochMilli(millis);
                int rank = members.indexOf(name);
                shares.confirm(
                        rank < 0 ? new LimitShare.None() : new LimitShare.EqualPart(version, rank, members.size(), LEASE),
                        now);
            }
        }

        private void start(int limit, int millis, RandomGenerator random) {
            int share = shares.of(limit, HORIZON, millis * 1_000_000L);
            while (ends.size() < share) {
                ends.add(millis + 50 + random.nextInt((int) HORIZON.toMillis() - 50));
            }
        }
    }
}
