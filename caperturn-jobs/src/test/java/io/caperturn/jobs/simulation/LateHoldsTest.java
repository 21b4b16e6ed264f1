package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that no task of a transient job runs twice at the same time if upstreams execute holds, which extend the lease
 * of their runs, late and unanswered while callers submit their jobs again.
 */
class LateHoldsTest {
    private static final int SEEDS = Integer.getInteger("caperturn.seeds", 20);
    private static final int ENTRIES = 2;
    private static final int SIDECARS = 3;
    private static final int JOBS = 12;

    /** What happens to an entry while holds are late. */
    enum Loss {
        KILLED,
        FROZEN,
        CUT
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void lateHoldsKeepNoRunOfALostEntryActive(Loss loss) {
        int resubmissions = 0;
        List<String> overlaps = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            resubmissions += runAroundALoss(seed, loss, overlaps);
        }
        assertEquals(List.of(), overlaps);
        assertTrue(resubmissions > SEEDS, "too few jobs were submitted again: " + resubmissions);
    }

    /** Adds the tasks that run twice at the same time to a list; returns how many jobs were submitted again. */
    private static int runAroundALoss(long seed, Loss loss, List<String> overlaps) {
        Random random = new Random(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(ENTRIES, SIDECARS, task -> 1_000 + Math.floorMod(task.hashCode(), 3_000));
        ResubmittingCallers callers =
                new ResubmittingCallers(fleet, ENTRIES, /* deadlineMilliseconds= */ 6_000, random);
        double share = 0.1 + 0.8 * random.nextDouble();
        long delay = 260 + random.nextInt(random.nextBoolean() ? 1_500 : 6_000);
        for (int sidecar = 0; sidecar < SIDECARS; sidecar++) {
            fleet.upstream(sidecar).unansweredOrders().delayHolds(delay, share, seed + sidecar);
        }
        fleet.time().after(800 + random.nextInt(1_500), () -> lose(fleet, callers, loss));
        for (int number = 0; number < JOBS; number++) {
            callers.submit(random.nextInt(ENTRIES), "job-" + number, SampleJobs.plan(2, false, 2_000));
            fleet.time().runUntil(fleet.time().now() + random.nextInt(150));
        }
        fleet.time().runUntil(fleet.time().now() + 15_000);
        fleet.recordOfStarts().overlaps().forEach(overlap -> overlaps.add("seed " + seed + ": " + overlap));
        return callers.resubmissions();
    }

    private static void lose(SimulatedFleet fleet, ResubmittingCallers callers, Loss loss) {
        switch (loss) {
            case KILLED -> {
                fleet.kill("entry-0");
                fleet.time().after(600, () -> fleet.restart("entry-0"));
            }
            case FROZEN -> {
                VirtualLoop frozen = fleet.loop("entry-0");
                frozen.freeze();
                fleet.time().after(4_000, () -> frozen.resume(/* clockStoodStill= */ false));
            }
            case CUT -> {
                fleet.isolate("entry-0");
                fleet.time().after(4_000, () -> fleet.reconnect("entry-0"));
            }
        }
        callers.breakConnections(0);
    }
}
