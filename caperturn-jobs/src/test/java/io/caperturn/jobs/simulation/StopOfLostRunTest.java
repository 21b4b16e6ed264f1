package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests stop orders for runs whose upstream has crashed; all times are virtual and in milliseconds. */
class StopOfLostRunTest {
    /** Guards against orders and log lines every 27 ms for a run on an upstream that is down. */
    @Test
    void stopIsNotRepeatedWhileTheUpstreamIsDown() {
        SimulatedFleet fleet = new SimulatedFleet(1, 1, task -> 5_000);
        fleet.submit(0, "job", SampleJobs.plan(1, /* durable= */ false, 5_000));
        fleet.time().runUntil(fleet.time().now() + 300);
        fleet.upstream(0).crash();
        fleet.time().runUntil(fleet.time().now() + 100);
        fleet.loop("entry-0").run(() -> fleet.entry(0).abandon("job", "caller-gone"));
        fleet.time().runUntil(fleet.time().now() + 6_000);

        long stops = fleet.logLines()
                .lines()
                .filter(line -> line.contains(" stop-run "))
                .count();
        assertEquals(1, stops, fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }
}
