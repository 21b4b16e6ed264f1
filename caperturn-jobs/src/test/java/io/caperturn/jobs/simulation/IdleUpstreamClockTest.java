package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that runs of a lost entry end in time if their upstream, whose clock is slow, was idle before. */
class IdleUpstreamClockTest {
    @ParameterizedTest
    @CsvSource({
        "0, 500, KILLED",
        "0, 500, FROZEN",
        "0, 500, LATE",
        "60000, 500, KILLED",
        "60000, 500, FROZEN",
        "60000, 500, LATE",
        "30000, 300, FROZEN",
        "30000, 500, KILLED",
        "30000, 500, FROZEN",
        "30000, 500, LATE",
        "30000, 700, FROZEN",
        "40000, 500, FROZEN",
        "40000, 600, FROZEN"
    })
    void runsOfALostEntryEndInTimeAfterTheirUpstreamWasIdle(
            long idleMilliseconds, long killedAfterMilliseconds, String fault) {
        SimulatedFleet fleet = new SimulatedFleet(3, 4, task -> 300 + Math.floorMod(task.hashCode(), 3_700));
        ResubmittingCallers callers = new ResubmittingCallers(fleet, 3, 6_000, new Random(1));
        fleet.time().runUntil(fleet.time().now() + idleMilliseconds);
        for (int number = 0; number < 6; number++) {
            callers.submit(0, "job-" + number, SampleJobs.plan(3, false, 2_000));
            fleet.time().runUntil(fleet.time().now() + 100);
        }
        fleet.kill("entry-0");
        callers.breakConnections(0);
        fleet.time().after(killedAfterMilliseconds, () -> {
            for (int sidecar = 0; sidecar < 3; sidecar++) {
                switch (fault) {
                    case "KILLED" -> fleet.kill("sidecar-" + sidecar);
                    case "FROZEN" -> fleet.loop("sidecar-" + sidecar).freeze();
                    default -> fleet.upstream(sidecar).unansweredOrders().delayAll(3_000);
                }
            }
        });
        fleet.time().runUntil(fleet.time().now() + 20_000);
        assertTrue(callers.resubmissions() > 0);
        assertEquals(List.of(), fleet.recordOfStarts().overlaps());
    }
}
