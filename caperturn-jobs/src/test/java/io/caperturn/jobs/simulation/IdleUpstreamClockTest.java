package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that runs of a lost entry end in time if their upstream, whose clock is slow, was idle before. */
class IdleUpstreamClockTest {
    private static final int ENTRIES = 3;
    private static final int SIDECARS = 4;
    private static final int JOBS = 6;

    /** What happens to all sidecars but one after the loss of an entry. */
    enum Loss {
        KILLED,
        FROZEN,
        /** Their upstreams carry out orders to stop runs late. */
        STOPS_LATE
    }

    /** Times in milliseconds: that for which the upstreams are idle, and that from the loss of the entry. */
    @ParameterizedTest
    @CsvSource({
        "0, 500, KILLED",
        "0, 500, FROZEN",
        "0, 500, STOPS_LATE",
        "60000, 500, KILLED",
        "60000, 500, FROZEN",
        "60000, 500, STOPS_LATE",
        "30000, 300, FROZEN",
        "30000, 500, KILLED",
        "30000, 500, FROZEN",
        "30000, 500, STOPS_LATE",
        "30000, 700, FROZEN",
        "40000, 500, FROZEN",
        "40000, 600, FROZEN"
    })
    void runsOfALostEntryEndInTimeAfterTheirUpstreamWasIdle(long idle, long lostAfter, Loss loss) {
        SimulatedFleet fleet =
                new SimulatedFleet(ENTRIES, SIDECARS, task -> 300 + Math.floorMod(task.hashCode(), 3_700));
        ResubmittingCallers callers =
                new ResubmittingCallers(fleet, ENTRIES, /* deadlineMilliseconds= */ 6_000, new Random(1));
        fleet.time().runUntil(fleet.time().now() + idle);
        for (int number = 0; number < JOBS; number++) {
            callers.submit(0, "job-" + number, SampleJobs.plan(3, /* durable= */ false, 2_000));
            fleet.time().runUntil(fleet.time().now() + 100);
        }
        fleet.kill("entry-0");
        callers.breakConnections(0);
        fleet.time().after(lostAfter, () -> {
            for (int sidecar = 0; sidecar < SIDECARS - 1; sidecar++) {
                lose(fleet, sidecar, loss);
            }
        });
        fleet.time().runUntil(fleet.time().now() + 20_000);
        assertTrue(callers.resubmissions() > 0);
        assertEquals(List.of(), fleet.recordOfStarts().overlaps());
    }

    private static void lose(SimulatedFleet fleet, int sidecar, Loss loss) {
        switch (loss) {
            case KILLED -> fleet.kill("sidecar-" + sidecar);
            case FROZEN -> fleet.loop("sidecar-" + sidecar).freeze();
            case STOPS_LATE -> fleet.upstream(sidecar).unansweredOrders().delayAll(3_000);
        }
    }
}
