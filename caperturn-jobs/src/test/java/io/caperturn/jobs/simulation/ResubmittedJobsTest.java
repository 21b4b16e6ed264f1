package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that no task of a transient job runs twice at the same time if its caller submits the job again after a fault.
 *
 * <p>A transient job is not stored: the entry that accepts it is the only process that knows of it. All times are
 * virtual, in milliseconds.
 */
class ResubmittedJobsTest {
    private static final int ENTRIES = 3;
    private static final int SIDECARS = 4;
    private static final int JOBS = 24;
    private static final long DEADLINE_MILLISECONDS = 6_000;

    /** Faults that are injected while jobs run, at processes that the seed selects. */
    enum Fault {
        ENTRY_KILLED((scene, random) -> scene.killEntry(random.nextInt(ENTRIES), 500 + random.nextInt(2_500))),
        ENTRY_FROZEN((scene, random) -> scene.freeze("entry-" + random.nextInt(ENTRIES), random, false)),
        ENTRY_SUSPENDED((scene, random) -> scene.freeze("entry-" + random.nextInt(ENTRIES), random, true)),
        ENTRY_CUT((scene, random) -> scene.isolate("entry-" + random.nextInt(ENTRIES), random)),
        /** The connections of callers break, those between processes stay. */
        CALLERS_RESET((scene, random) -> scene.callers.breakConnections(random.nextInt(ENTRIES))),
        /** All connections of an entry break at once: those of its callers and those to sidecars. */
        ENTRY_CONNECTIONS_RESET((scene, random) -> {
            int entry = random.nextInt(ENTRIES);
            scene.callers.breakConnections(entry);
            scene.fleet.closeLinksBriefly("entry-" + entry);
        }),
        SIDECAR_KILLED((scene, random) -> scene.kill("sidecar-" + random.nextInt(SIDECARS), random)),
        SIDECAR_FROZEN((scene, random) -> scene.freeze("sidecar-" + random.nextInt(SIDECARS), random, false)),
        SIDECAR_SUSPENDED((scene, random) -> scene.freeze("sidecar-" + random.nextInt(SIDECARS), random, true)),
        SIDECAR_CUT((scene, random) -> scene.isolate("sidecar-" + random.nextInt(SIDECARS), random)),
        LINKS_RESET((scene, random) -> scene.fleet.closeLinksBriefly("sidecar-" + random.nextInt(SIDECARS))),
        /** An entry and some sidecars are killed at once, and start again one after the other. */
        MANY_KILLED((scene, random) -> {
            scene.killEntry(random.nextInt(ENTRIES), 500);
            for (int sidecar = 0; sidecar < SIDECARS; sidecar++) {
                if (random.nextInt(4) > 0) {
                    scene.kill("sidecar-" + sidecar, random);
                }
            }
        }),
        /** The upstream executes orders to start or stop runs seconds late, and does not answer them. */
        ORDERS_LATE((scene, random) -> {
            SimulatedUpstream upstream = scene.fleet.upstream(random.nextInt(SIDECARS));
            upstream.unansweredOrders().delayAll(1_000 + random.nextInt(5_000));
            scene.fleet
                    .time()
                    .after(
                            500 + random.nextInt(3_000),
                            () -> upstream.unansweredOrders().delayAll(0));
        }),
        UPSTREAM_REBORN((scene, random) ->
                scene.fleet.upstream(random.nextInt(SIDECARS)).restart()),
        STORE_SILENT((scene, random) -> scene.setStoreFault(MemoryStore.Fault.SILENT)),
        STORE_LATE((scene, random) -> scene.setStoreFault(MemoryStore.Fault.LATE));

        private final BiConsumer<Scene, Random> injection;

        Fault(BiConsumer<Scene, Random> injection) {
            this.injection = injection;
        }
    }

    /** Fleet with callers, in which faults are injected. */
    private static final class Scene {
        private final SimulatedFleet fleet;
        private final ResubmittingCallers callers;

        Scene(Random random) {
            fleet = new SimulatedFleet(ENTRIES, SIDECARS, task -> 300 + Math.floorMod(task.hashCode(), 3_700));
            callers = new ResubmittingCallers(fleet, ENTRIES, DEADLINE_MILLISECONDS, random);
        }

        void killEntry(int entry, long downtime) {
            fleet.kill("entry-" + entry);
            callers.breakConnections(entry);
            fleet.time().after(downtime, () -> fleet.restart("entry-" + entry));
        }

        void kill(String node, Random random) {
            fleet.kill(node);
            fleet.time().after(50 + random.nextInt(1_000), () -> fleet.restart(node));
        }

        void freeze(String node, Random random, boolean clockStandsStill) {
            VirtualLoop frozen = fleet.loop(node);
            frozen.freeze();
            fleet.time().after(300 + random.nextInt(5_000), () -> frozen.resume(clockStandsStill));
        }

        void isolate(String node, Random random) {
            fleet.isolate(node);
            fleet.time().after(300 + random.nextInt(5_000), () -> fleet.reconnect(node));
        }

        void setStoreFault(MemoryStore.Fault fault) {
            fleet.store().setFault(fault);
            fleet.time().after(2_500, () -> fleet.store().setFault(MemoryStore.Fault.NONE));
        }

        void submitJobs(Random random) {
            for (int number = 0; number < JOBS; number++) {
                callers.submit(random.nextInt(ENTRIES), "job-" + number, SampleJobs.plan(3, false, 2_000));
                fleet.time().runUntil(fleet.time().now() + random.nextInt(200));
            }
        }

        void assertNoTaskRunsTwiceAtOnce(String faults) {
            fleet.time().runUntil(fleet.time().now() + 20_000);
            assertEquals(List.of(), fleet.recordOfStarts().overlaps(), faults);
        }
    }

    static List<Long> seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("caperturn.seeds", 150))
                .boxed()
                .toList();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void overlappingFaultsRunNoTaskOfAResubmittedJobTwiceAtOnce(long seed) {
        Random random = new Random(seed);
        Scene scene = new Scene(random);
        Fault[] faults = Fault.values();
        StringBuilder names = new StringBuilder();
        for (int number = 0; number < 3; number++) {
            Fault fault = faults[random.nextInt(faults.length)];
            long at = random.nextInt(4_000);
            names.append(fault).append('@').append(at).append(' ');
            scene.fleet.time().after(at, () -> fault.injection.accept(scene, random));
        }
        scene.submitJobs(random);
        scene.assertNoTaskRunsTwiceAtOnce(names.toString());
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void singleFaultRunsNoTaskOfAResubmittedJobTwiceAtOnce(Fault fault) {
        for (long seed = 1; seed <= 5; seed++) {
            Random random = new Random(seed);
            Scene scene = new Scene(random);
            scene.fleet.time().after(random.nextInt(3_000), () -> fault.injection.accept(scene, random));
            scene.submitJobs(random);
            scene.assertNoTaskRunsTwiceAtOnce("seed " + seed);
        }
    }

    /** The sidecars are frozen after the loss of the entry, so that they can't stop its runs. */
    @ParameterizedTest
    @ValueSource(longs = {100, 300, 500, 700, 900, 1_100})
    void runsOfALostEntryEndInTimeIfTheirSidecarsAreFrozen(long frozenAfterMilliseconds) {
        assertRunsOfALostEntryEndInTime(scene -> scene.fleet.time().after(frozenAfterMilliseconds, () -> {
            for (int sidecar = 0; sidecar < SIDECARS - 1; sidecar++) {
                VirtualLoop frozen = scene.fleet.loop("sidecar-" + sidecar);
                frozen.freeze();
                scene.fleet.time().after(4_000, () -> frozen.resume(/* clockStoodStill= */ false));
            }
        }));
    }

    /** The sidecars are killed after the loss of the entry and don't return. */
    @ParameterizedTest
    @ValueSource(longs = {100, 300, 500, 700, 900, 1_100})
    void runsOfALostEntryEndInTimeIfTheirSidecarsAreKilled(long killedAfterMilliseconds) {
        assertRunsOfALostEntryEndInTime(scene -> scene.fleet.time().after(killedAfterMilliseconds, () -> {
            for (int sidecar = 0; sidecar < SIDECARS - 1; sidecar++) {
                scene.fleet.kill("sidecar-" + sidecar);
            }
        }));
    }

    /** The sidecars are suspended with their clocks when the entry is lost, and killed as soon as they have resumed. */
    @ParameterizedTest
    @CsvSource({"400, 40", "400, 300", "500, 260", "500, 300", "600, 280", "700, 40", "700, 260", "700, 300", "800, 10"
    })
    void runsOfALostEntryEndInTimeIfTheirSidecarsWereSuspended(long suspensionMilliseconds, long killedAfter) {
        assertRunsOfALostEntryEndInTime(scene -> {
            for (int sidecar = 0; sidecar < SIDECARS - 1; sidecar++) {
                String node = "sidecar-" + sidecar;
                VirtualLoop suspended = scene.fleet.loop(node);
                suspended.freeze();
                scene.fleet.time().after(suspensionMilliseconds, () -> suspended.resume(/* clockStoodStill= */ true));
                scene.fleet.time().after(suspensionMilliseconds + killedAfter, () -> scene.fleet.kill(node));
            }
        });
    }

    /** Orders to stop are carried out late, but holds, which extend the lease, in time. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300, 600, 900})
    void runsOfALostEntryEndInTimeIfTheirStopsAreLate(long lateAfterMilliseconds) {
        assertRunsOfALostEntryEndInTime(scene -> scene.fleet.time().after(lateAfterMilliseconds, () -> {
            for (int sidecar = 0; sidecar < SIDECARS - 1; sidecar++) {
                scene.fleet.upstream(sidecar).unansweredOrders().delayAll(3_000);
            }
        }));
    }

    private static void assertRunsOfALostEntryEndInTime(Consumer<Scene> fault) {
        Scene scene = new Scene(new Random(1));
        for (int number = 0; number < 6; number++) {
            scene.callers.submit(0, "job-" + number, SampleJobs.plan(3, false, 2_000));
            scene.fleet.time().runUntil(scene.fleet.time().now() + 100);
        }
        scene.killEntry(0, 10_000);
        fault.accept(scene);
        scene.assertNoTaskRunsTwiceAtOnce("");
        assertTrue(scene.callers.resubmissions() > 0);
    }

    @Test
    void callersOfAKilledEntrySubmitTheirJobsAgain() {
        Scene scene = new Scene(new Random(1));
        scene.callers.submit(0, "job", SampleJobs.plan(3, false, 2_000));
        scene.fleet.time().runUntil(scene.fleet.time().now() + 100);
        scene.killEntry(0, 500);
        scene.fleet.time().runUntil(scene.fleet.time().now() + 10_000);
        assertTrue(scene.callers.resubmissions() > 0);
        assertTrue(scene.fleet.recordOfStarts().startCount() > 3, scene.fleet::logLines);
    }
}
