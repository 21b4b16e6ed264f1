package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests evacuations of availability zones under load and under failures. Sidecars with even numbers are in
 * {@code zone-0}, those with odd numbers in {@code zone-1}.
 */
class ZoneEvacuationTest {
    /** Time after the acknowledgement of an evacuation from which no task may start in the zone, in milliseconds. */
    private static final long EVACUATION_BOUND_MILLISECONDS = 5_000;
    /** Maximum time to a refusal: a few round trips. */
    private static final long MAX_REFUSAL_MILLISECONDS = 20;

    /** Minimum fraction of the remaining capacity whose jobs complete on time, as at any overload. */
    private static final double MIN_ON_TIME_FRACTION = 0.7;

    private static final int SIDECARS = 4;
    /** Number of tasks that run at once in a zone, on two upstreams of sixteen cores. */
    private static final int TASKS_IN_ZONE = 20;

    private static final long TASK_MILLISECONDS = 300;

    private final SimulatedFleet fleet = new SimulatedFleet(2, SIDECARS, 2, task -> TASK_MILLISECONDS);
    private final Callers callers = new Callers(fleet);
    private final List<Start> starts = new ArrayList<>();
    private int submittedJobs;

    ZoneEvacuationTest() {
        fleet.recordOfStarts()
                .setObserver((run, upstream) ->
                        starts.add(new Start(run, upstream, fleet.time().now())));
    }

    /** Start of a run at an upstream, in virtual milliseconds. */
    private record Start(RunIdentity run, String upstream, long at) {
        /** Returns whether the upstream is in a zone; upstreams are spread over the two zones in turn. */
        boolean isIn(String zone) {
            return upstream.charAt(upstream.length() - 1) % 2 == zone.charAt(zone.length() - 1) % 2;
        }
    }

    /** Submits transient jobs of four tasks to both entries in turn. */
    private void submitFor(long milliseconds, int millisecondsBetweenJobs) {
        for (long elapsed = 0; elapsed < milliseconds; elapsed++) {
            if (elapsed % millisecondsBetweenJobs == 0) {
                submit(submittedJobs % 2, SampleJobs.plan(4, /* durable= */ false, TASK_MILLISECONDS));
            }
            callers.advance();
        }
    }

    private Callers.Caller submit(int entry, JobPlan plan) {
        return callers.submit(entry, "job-" + submittedJobs++, plan, SampleJobs.QUEUE);
    }

    private List<Start> startsIn(String zone, long from, long until) {
        return starts.stream()
                .filter(start -> start.isIn(zone) && start.at() >= from && start.at() < until)
                .toList();
    }

    /** Asserts that all callers were answered, and that no sidecar ordered a start while it knew of an evacuation. */
    private void assertConsistent() {
        callers.advance(12_000);
        for (Callers.Caller caller : callers.allCallers()) {
            assertEquals(1, caller.answers().size(), "each caller is answered exactly once");
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Finished finished) {
                assertEquals(JobState.COMPLETED, finished.state());
            }
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        for (int number = 0; number < SIDECARS; number++) {
            String zone = "zone " + fleet.zones().zoneOf("sidecar-" + number);
            boolean evacuated = false;
            for (String line : fleet.loop("sidecar-" + number).logLines()) {
                if (line.contains(" zone-evacuated " + zone)) {
                    evacuated = true;
                } else if (line.contains(" zone-restored " + zone)) {
                    evacuated = false;
                }
                assertTrue(!evacuated || !line.contains(" run-ordered "), line);
            }
        }
    }

    /** Asserts that evacuations were not taken for failures of upstreams or tasks. */
    private void assertNothingCountedAsFailure() {
        assertTrue(!fleet.logLines().contains(" ejected "), "an upstream was ejected");
        assertTrue(!fleet.logLines().contains(" run-failed "), "a run was counted as failed");
    }

    /** Load: both zones are half used, and twice as much comes at the moment of the evacuation. */
    @ParameterizedTest
    @ValueSource(ints = {80, 40, 20, 10})
    void evacuationInABurst(int millisecondsBetweenJobs) {
        submitFor(2_000, 80);
        long evacuatedAt = fleet.time().now();
        fleet.zones().setEvacuated("zone-0", true);
        submitFor(7_000, millisecondsBetweenJobs);
        long restoredAt = fleet.time().now();
        fleet.zones().setEvacuated("zone-0", false);
        submitFor(2_000, 80);
        assertEquals(List.of(), startsIn("zone-0", evacuatedAt + EVACUATION_BOUND_MILLISECONDS, restoredAt));
        assertTrue(startsIn("zone-1", evacuatedAt, restoredAt).size() > 100, "the other zone serves");
        assertTrue(!startsIn("zone-0", restoredAt, restoredAt + 2_000).isEmpty(), "the zone serves again");
        assertConsistent();
        assertNothingCountedAsFailure();
    }

    /**
     * Load: one to four times what the remaining zone can serve, for callers who need their job within 540 ms. That
     * zone is used for jobs on time, and the others are refused at once.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 30, 15})
    void remainingZoneServesOnTimeAndTheRestIsRefusedAtOnce(int millisecondsBetweenJobs) {
        QueuePolicy promptQueue = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
        long objectiveMilliseconds = 540;
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(500);
        int loadMilliseconds = 6_000;
        for (int elapsed = 0; elapsed < loadMilliseconds; elapsed++) {
            if (elapsed % millisecondsBetweenJobs == 0) {
                JobPlan plan = SampleJobs.plan(4, /* durable= */ false, TASK_MILLISECONDS);
                callers.submit(submittedJobs % 2, "job-" + submittedJobs++, plan, promptQueue);
            }
            callers.advance();
        }
        callers.advance(2_000);
        int onTime = 0;
        for (Callers.Caller caller : callers.allCallers()) {
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(caller.answerMilliseconds() <= MAX_REFUSAL_MILLISECONDS, "refused at once");
            } else if (caller.answerMilliseconds() <= objectiveMilliseconds) {
                onTime++;
            }
        }
        double servable = (double) TASKS_IN_ZONE / 4 * loadMilliseconds / TASK_MILLISECONDS;
        int finalOnTime = onTime;
        assertTrue(onTime >= MIN_ON_TIME_FRACTION * servable, () -> finalOnTime + " on time of " + servable);
        assertConsistent();
    }

    /** A refused task goes to the other zone, and is not sent again and again to the one that refuses it. */
    @Test
    void entryThatLearnsLateCausesNoStartAndFewRefusals() {
        fleet.zones().withholdChanges("entry-1");
        submitFor(2_000, 40);
        long evacuatedAt = fleet.time().now();
        fleet.zones().setEvacuated("zone-0", true);
        submitFor(20, 1); // some are sent before the sidecars' statuses arrive
        submitFor(7_000, 40);
        assertEquals(List.of(), startsIn("zone-0", evacuatedAt + EVACUATION_BOUND_MILLISECONDS, Long.MAX_VALUE));
        long refused = fleet.logLines()
                .lines()
                .filter(line -> line.contains(" dispatch-refused ") && line.endsWith(" reason zone-evacuated"))
                .count();
        assertTrue(refused > 0 && refused <= TASKS_IN_ZONE, () -> refused + " tasks were refused");
        assertConsistent();
        assertNothingCountedAsFailure();
    }

    @ParameterizedTest
    @ValueSource(strings = {"sidecar-0", "sidecar-2"})
    void sidecarThatLearnsLateIsSentNothing(String late) {
        fleet.zones().withholdChanges(late);
        submitFor(1_000, 40);
        long evacuatedAt = fleet.time().now();
        fleet.zones().setEvacuated("zone-0", true);
        submitFor(7_000, 40);
        assertEquals(List.of(), startsIn("zone-0", evacuatedAt + EVACUATION_BOUND_MILLISECONDS, Long.MAX_VALUE));
        assertConsistent();
    }

    /** Failures during an evacuation, which last at most two seconds. */
    enum Failure {
        STORE_SILENT(fleet -> storeFault(fleet, MemoryStore.Fault.SILENT)),
        STORE_BUSY(fleet -> storeFault(fleet, MemoryStore.Fault.BUSY)),
        HISTORY_LOST(fleet -> fleet.store().discardHistory()),
        SIDECAR_RESTARTED(fleet -> restart(fleet, List.of("sidecar-0"))),
        ENTRY_RESTARTED(fleet -> restart(fleet, List.of("entry-0"))),
        ALL_RESTARTED(fleet ->
                restart(fleet, List.of("entry-0", "entry-1", "sidecar-0", "sidecar-1", "sidecar-2", "sidecar-3"))),
        SIDECAR_SUSPENDED(fleet -> {
            fleet.loop("sidecar-0").freeze();
            fleet.time().after(2_000, () -> fleet.loop("sidecar-0").resume(/* clockStoodStill= */ true));
        }),
        ORDERS_LATE(fleet -> {
            fleet.upstream(0).unansweredOrders().delayAll(500);
            fleet.time().after(2_000, () -> fleet.upstream(0).unansweredOrders().delayAll(0));
        });

        private final Consumer<SimulatedFleet> injection;

        Failure(Consumer<SimulatedFleet> injection) {
            this.injection = injection;
        }

        private static void storeFault(SimulatedFleet fleet, MemoryStore.Fault fault) {
            fleet.store().setFault(fault);
            fleet.time().after(2_000, () -> fleet.store().setFault(MemoryStore.Fault.NONE));
        }

        private static void restart(SimulatedFleet fleet, List<String> nodes) {
            for (String node : nodes) {
                fleet.kill(node);
                fleet.time().after(500, () -> fleet.restart(node));
            }
        }
    }

    /** The failure strikes right after the store has acknowledged the request, before any process can know of it. */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void failureAtTheRequest(Failure failure) {
        submitFor(1_000, 40);
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(2);
        long evacuatedAt = fleet.time().now();
        failure.injection.accept(fleet);
        submitFor(8_000, 40);
        long restoredAt = fleet.time().now();
        fleet.zones().setEvacuated("zone-0", false);
        submitFor(3_000, 40);
        assertEquals(List.of(), startsIn("zone-0", evacuatedAt + EVACUATION_BOUND_MILLISECONDS, restoredAt));
        assertTrue(!startsIn("zone-1", evacuatedAt + EVACUATION_BOUND_MILLISECONDS, restoredAt)
                .isEmpty());
        assertTrue(!startsIn("zone-0", restoredAt, Long.MAX_VALUE).isEmpty(), "the zone serves again");
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** The zone stays empty through a failure in the middle of the evacuation, also when the store is away then. */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void failureDuringTheEvacuationStartsNothing(Failure failure) {
        submitFor(500, 40);
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(EVACUATION_BOUND_MILLISECONDS);
        long from = fleet.time().now();
        failure.injection.accept(fleet);
        submitFor(5_000, 40);
        assertEquals(List.of(), startsIn("zone-0", from, Long.MAX_VALUE));
        assertTrue(!startsIn("zone-1", from, Long.MAX_VALUE).isEmpty());
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** The zone is restored although the history of changes in which it was removed is lost. */
    @Test
    void removalInAGapOfTheHistoryTakesEffect() {
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(1_000);
        fleet.store().setFault(MemoryStore.Fault.BUSY);
        callers.advance(2_000);
        fleet.store().setFault(MemoryStore.Fault.NONE);
        fleet.zones().setEvacuated("zone-0", false);
        callers.advance(3);
        fleet.store().discardHistory();
        callers.advance(1_500);
        long from = fleet.time().now();
        submitFor(1_000, 40);
        assertTrue(!startsIn("zone-0", from, Long.MAX_VALUE).isEmpty());
        assertConsistent();
    }

    @Test
    void everythingIsRefusedAtOnceWhileAllZonesAreEvacuated() {
        fleet.zones().setEvacuated("zone-0", true);
        fleet.zones().setEvacuated("zone-1", true);
        fleet.zones().setEvacuated("zone-unknown", true);
        callers.advance(500);
        for (int number = 0; number < 50; number++) {
            Callers.Caller caller = submit(number % 2, SampleJobs.plan(4, /* durable= */ number % 3 == 0));
            callers.advance(MAX_REFUSAL_MILLISECONDS);
            assertRefusedForZone(caller);
        }
        assertTrue(fleet.entry(0).isReady(), "the entry stays ready to refuse");
        fleet.zones().setEvacuated("zone-0", false);
        fleet.zones().setEvacuated("zone-1", false);
        callers.advance(100);
        Callers.Caller caller = submit(0, SampleJobs.plan(4, /* durable= */ false));
        callers.advance(2 * TASK_MILLISECONDS);
        assertEquals(
                new CallerAnswers.Submission.Finished(JobState.COMPLETED),
                caller.answers().getFirst());
    }

    private static void assertRefusedForZone(Callers.Caller caller) {
        CallerAnswers.Submission.Refused refusal = assertInstanceOf(
                CallerAnswers.Submission.Refused.class, caller.answers().getFirst());
        assertEquals("zone-evacuated", refusal.reason());
        assertTrue(refusal.retryAfterMilliseconds() > 0);
    }

    /** After a loss of all processes, too, before any sidecar has returned. */
    @Test
    void everythingIsRefusedAfterARestartWhileAllZonesAreEvacuated() {
        fleet.zones().setEvacuated("zone-0", true);
        fleet.zones().setEvacuated("zone-1", true);
        callers.advance(500);
        Failure.ALL_RESTARTED.injection.accept(fleet);
        callers.advance(600);
        for (int millisecond = 0; millisecond < 3_000; millisecond += 50) {
            Callers.Caller caller = submit(0, SampleJobs.plan(4, /* durable= */ false));
            callers.advance(50);
            assertInstanceOf(
                    CallerAnswers.Submission.Refused.class, caller.answers().getFirst());
        }
        assertEquals(List.of(), starts);
    }

    /** Returns a job of tasks that only the upstreams of {@code zone-0} can run, once those have announced that. */
    private JobPlan planForFirstZone(int tasks) {
        for (int number : Set.of(0, 2)) {
            fleet.upstream(number).setDescription("service", List.of("special"));
        }
        callers.advance(1_000);
        return new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(
                        tasks, new Resources(1_600, 64, 0), TASK_MILLISECONDS, List.of(), "special", "", 0)),
                /* durable= */ false);
    }

    /**
     * A job that waits for room in the zone is answered at the next tick of its entry, one whose tasks run finishes.
     */
    @Test
    void waitingJobThatOnlyTheEvacuatedZoneCanRunIsAbandonedAtOnce() {
        JobPlan plan = planForFirstZone(TASKS_IN_ZONE);
        Callers.Caller running = submit(0, plan);
        callers.advance(20);
        Callers.Caller waiting = submit(0, plan);
        callers.advance(20);
        assertEquals(List.of(), waiting.answers());
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(100);
        assertEquals(
                new CallerAnswers.Submission.Abandoned(/* started= */ false),
                waiting.answers().getFirst());
        callers.advance(TASK_MILLISECONDS);
        assertEquals(
                new CallerAnswers.Submission.Finished(JobState.COMPLETED),
                running.answers().getFirst());
    }

    @Test
    void jobThatOnlyTheEvacuatedZoneCanRunIsRefusedAtOnce() {
        JobPlan plan = planForFirstZone(/* tasks= */ 1);
        Callers.Caller before = submit(0, plan);
        callers.advance(2 * TASK_MILLISECONDS);
        assertEquals(
                new CallerAnswers.Submission.Finished(JobState.COMPLETED),
                before.answers().getFirst());
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(500);
        Callers.Caller during = submit(0, plan);
        callers.advance(MAX_REFUSAL_MILLISECONDS);
        assertRefusedForZone(during);
        submitFor(500, 100);
        assertConsistent();
    }

    /** Runs that are active at the evacuation run to their ends, without a second start. */
    @Test
    void activeRunsFinish() {
        Callers.Caller caller = submit(0, SampleJobs.plan(32, /* durable= */ false, TASK_MILLISECONDS));
        callers.advance(TASK_MILLISECONDS / 2);
        assertTrue(!startsIn("zone-0", 0, Long.MAX_VALUE).isEmpty());
        fleet.zones().setEvacuated("zone-0", true);
        callers.advance(TASK_MILLISECONDS);
        assertEquals(
                new CallerAnswers.Submission.Finished(JobState.COMPLETED),
                caller.answers().getFirst());
        assertEquals(32, fleet.recordOfStarts().startCount());
    }
}
