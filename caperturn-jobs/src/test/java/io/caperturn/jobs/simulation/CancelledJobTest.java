package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests jobs that are cancelled while an entry (process that accepts jobs) which may start their tasks does not learn
 * of it: it is frozen, recovers the jobs, or inserts them. All times are virtual and in milliseconds.
 */
class CancelledJobTest {
    /** Time after the acknowledgement of a cancellation by which all runs of the job must have ended. */
    private static final long CANCEL_MILLISECONDS = 3_000;
    /** Time for the stop of a run. */
    private static final long STOP_MILLISECONDS = 50;
    /** Time without a frame after which processes close their links, and some more. */
    private static final long LINK_TIMEOUT_MILLISECONDS = 1_900;

    private static final int SIDECARS = 3;
    private static final int JOBS = 6;
    private static final long TASK_MILLISECONDS = 60_000;

    /**
     * Guards against a cancelled job that runs on to its end, because its owner was frozen when it was told, or was
     * declared lost then.
     */
    @ParameterizedTest
    @CsvSource({"300, 1000", "300, 2000", "1950, 2000", "300, 2400", "300, 4000", "1500, 4000", "2400, 6000"})
    void jobStopsInTimeIfItsOwnerIsFrozenWhenItIsCancelled(long cancelMilliseconds, long freezeMilliseconds) {
        SimulatedFleet fleet = fleetWithRunningJobs();
        freeze(fleet, freezeMilliseconds);
        fleet.time().runUntil(fleet.time().now() + cancelMilliseconds);
        cancelAll(fleet, 1);
        fleet.time().runUntil(fleet.time().now() + CANCEL_MILLISECONDS + STOP_MILLISECONDS);

        assertEquals(0, activeRuns(fleet), fleet::logLines);
        fleet.time().runUntil(fleet.time().now() + 10_000);
        assertEquals(0, activeRuns(fleet), fleet::logLines);
        assertEquals(JOBS, fleet.recordOfStarts().startCount(), fleet::logLines);
    }

    /** Guards against a cancelled job that runs on because the entry that cancelled it is lost too. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 4_000})
    void jobStopsIfTheEntryThatCancelledItIsLost(long freezeMilliseconds) {
        SimulatedFleet fleet = fleetWithRunningJobs();
        freeze(fleet, freezeMilliseconds);
        fleet.time().runUntil(fleet.time().now() + 300);
        cancelAll(fleet, 1);
        fleet.kill("entry-1");
        fleet.time().runUntil(fleet.time().now() + freezeMilliseconds + CANCEL_MILLISECONDS + STOP_MILLISECONDS);

        assertEquals(0, activeRuns(fleet), fleet::logLines);
        assertEquals(JOBS, fleet.recordOfStarts().startCount(), fleet::logLines);
    }

    /** Guards against an owner that is not told of a cancellation because the store's answer to it was lost. */
    @ParameterizedTest
    @ValueSource(longs = {100, 400, 1_000})
    void jobStopsIfTheAnswerToItsCancellationIsLost(long faultMilliseconds) {
        SimulatedFleet fleet = fleetWithRunningJobs();
        fleet.store().setFault(MemoryStore.Fault.ANSWERS_LOST);
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            fleet.entry(1).cancel("job-" + number, answers::add);
        }
        fleet.time().runUntil(fleet.time().now() + faultMilliseconds);
        fleet.store().setFault(MemoryStore.Fault.NONE);
        while (answers.size() < JOBS) {
            fleet.time().runUntil(fleet.time().now() + 10);
        }
        fleet.time().runUntil(fleet.time().now() + CANCEL_MILLISECONDS + STOP_MILLISECONDS);

        assertEquals(
                Collections.nCopies(JOBS, new CallerAnswers.Lookup.Found(JobState.CANCELLED)),
                answers,
                fleet::logLines);
        assertEquals(0, activeRuns(fleet), fleet::logLines);
    }

    /**
     * Guards against a cancelled job whose runs are taken over: it was cancelled after the adoption and before the end
     * of the recovery, which waits here for a sidecar that is cut off.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void jobStopsIfItIsCancelledDuringTheRecoveryOfItsRuns(int cancellingEntry) {
        SimulatedFleet fleet = fleetWithRunningJobs();
        fleet.isolate("sidecar-2");
        fleet.kill("entry-0");
        fleet.time().after(500, () -> fleet.restart("entry-0"));
        fleet.time().runUntil(fleet.time().now() + 1_000);
        assertTrue(fleet.logLines().contains(" adopted "), fleet::logLines);
        cancelAll(fleet, cancellingEntry);
        fleet.reconnect("sidecar-2");
        fleet.time().runUntil(fleet.time().now() + CANCEL_MILLISECONDS + STOP_MILLISECONDS);

        assertEquals(0, activeRuns(fleet), fleet::logLines);
        assertEquals(JOBS, fleet.recordOfStarts().startCount(), fleet::logLines);
    }

    /**
     * Guards against a job that is stored and run after its cancellation was acknowledged: the store turned its entry
     * away, so that the cancelling entry did not find the job.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void jobDoesNotRunIfItIsCancelledWhileItsInsertIsUnanswered(int cancellingEntry) {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, task -> 200);
        fleet.store().setFault(MemoryStore.Fault.SILENT);
        submitAll(fleet, 200);
        fleet.time().runUntil(fleet.time().now() + 20);
        fleet.store().setFault(MemoryStore.Fault.NONE);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), true);
        fleet.time().runUntil(fleet.time().now() + 500);
        for (CallerAnswers.Lookup answer : cancelAll(fleet, cancellingEntry)) {
            assertEquals(new CallerAnswers.Lookup.Unknown(), answer);
        }
        fleet.time().runUntil(fleet.time().now() + 5_000);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), false);
        fleet.time().runUntil(fleet.time().now() + 10_000);

        assertEquals(0, fleet.recordOfStarts().startCount(), fleet::logLines);
    }

    /** Guards against a cancellation that outlives the refused insert which it met, and meets a later one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void jobRunsIfItIsSubmittedAgainAfterItsRefusedInsertWasCancelled(int cancellingEntry) {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, task -> 200);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), true);
        submitAll(fleet, 200);
        fleet.time().runUntil(fleet.time().now() + 20);
        cancelAll(fleet, cancellingEntry);
        fleet.time().runUntil(fleet.time().now() + 1_000);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), false);
        submitAll(fleet, 200);
        fleet.time().runUntil(fleet.time().now() + 2_000);

        assertEquals(JOBS, fleet.recordOfStarts().succeededTaskCount(), fleet::logLines);
    }

    /** Returns a fleet with jobs of one long task each, which run and are owned by entry 0. */
    private static SimulatedFleet fleetWithRunningJobs() {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, task -> TASK_MILLISECONDS);
        submitAll(fleet, TASK_MILLISECONDS);
        fleet.time().runUntil(fleet.time().now() + 1_000);
        assertEquals(JOBS, activeRuns(fleet));
        return fleet;
    }

    private static void submitAll(SimulatedFleet fleet, long taskMilliseconds) {
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "job-" + number, SampleJobs.plan(1, /* durable= */ true, taskMilliseconds));
        }
    }

    /** Freezes entry 0 for a time; after the time-out its links are closed, with the frames that it has not read. */
    private static void freeze(SimulatedFleet fleet, long milliseconds) {
        fleet.loop("entry-0").freeze();
        fleet.time().after(Math.min(milliseconds, LINK_TIMEOUT_MILLISECONDS), () -> fleet.closeLinksBriefly("entry-0"));
        fleet.time().after(milliseconds, () -> fleet.loop("entry-0").resume(/* clockStoodStill= */ false));
    }

    /** Cancels all jobs at an entry, and returns its answers, all of which arrive within 50 ms. */
    private static List<CallerAnswers.Lookup> cancelAll(SimulatedFleet fleet, int entry) {
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            fleet.entry(entry).cancel("job-" + number, answers::add);
        }
        fleet.time().runUntil(fleet.time().now() + 50);
        assertEquals(JOBS, answers.size(), fleet::logLines);
        for (CallerAnswers.Lookup answer : answers) {
            assertTrue(
                    answer instanceof CallerAnswers.Lookup.Unknown
                            || answer.equals(new CallerAnswers.Lookup.Found(JobState.CANCELLED)),
                    answer::toString);
        }
        return answers;
    }

    private static int activeRuns(SimulatedFleet fleet) {
        int active = 0;
        for (int number = 0; number < SIDECARS; number++) {
            active += fleet.upstream(number).activeRunCount();
        }
        return active;
    }
}
