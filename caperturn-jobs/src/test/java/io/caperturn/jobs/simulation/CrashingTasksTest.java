package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.testkit.known.KnownFailures;
import java.util.List;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests tasks that crash each upstream that starts them; all times are virtual and in milliseconds. */
@ExtendWith(KnownFailures.class)
class CrashingTasksTest {
    /** Relative speeds of eleven upstreams, as many as the users have. */
    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};
    /** Load at which eleven upstreams are busy for seven tenths of the time. */
    private static final double USUAL_LOAD = 2.7;
    /** Target of the users beyond the usual load, as a fraction of the possible value. */
    private static final double OVERLOAD_TARGET = 0.7;

    private static final String CRASHING_JOB = "crashing";

    private static SimulatedFleet fleetWithCrashingJob(int sidecars) {
        SimulatedFleet fleet = new SimulatedFleet(2, sidecars, task -> 300);
        for (int number = 0; number < sidecars; number++) {
            fleet.upstream(number).setCrashingTasks(task -> task.job().equals(CRASHING_JOB) && task.index() == 0);
        }
        return fleet;
    }

    /** Guards against a stored job whose task crashes one upstream after the other without an end. */
    @ParameterizedTest
    @CsvSource({"4, false", "4, true", "11, false", "11, true"})
    void storedTaskIsNotStartedThreeTimesMoreAfterThreeCrashes(int sidecars, boolean ownerLost) {
        SimulatedFleet fleet = fleetWithCrashingJob(sidecars);
        fleet.submit(0, CRASHING_JOB, SampleJobs.plan(3, /* durable= */ true));
        if (ownerLost) {
            fleet.time().after(5_000, () -> fleet.kill("entry-0"));
        }
        fleet.time().runUntil(90_000);

        assertTrue(
                fleet.recordOfStarts().startsAfterThreeCrashes() < 3,
                () -> fleet.recordOfStarts().startsAfterThreeCrashes() + " starts after three crashes");
        assertEquals(new CallerAnswers.Lookup.Found(JobState.FAILED), fleet.lookUp(1, CRASHING_JOB));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against a task without a bound on its starts because no crash is known to be under a run of it. */
    @ParameterizedTest
    @CsvSource({
        "4, BEFORE_ANSWER, false",
        "11, BEFORE_ANSWER, false",
        "11, BEFORE_ANSWER, true",
        "4, SILENT, false",
        "11, SILENT, false",
        "11, SILENT, true"
    })
    void storedTaskIsGivenUpAlsoIfItsCrashesAreUnconfirmed(int sidecars, CrashMode mode, boolean ownerLost) {
        SimulatedFleet fleet = fleetWithCrashingJob(sidecars);
        for (int number = 0; number < sidecars; number++) {
            fleet.upstream(number).setCrashMode(mode);
        }
        fleet.submit(0, CRASHING_JOB, SampleJobs.plan(3, /* durable= */ true));
        if (ownerLost) {
            fleet.time().after(5_000, () -> fleet.kill("entry-0"));
        }
        fleet.time().runUntil(120_000);

        assertTrue(
                fleet.recordOfStarts().startsAfterThreeCrashes() < 3,
                () -> fleet.recordOfStarts().startsAfterThreeCrashes() + " starts after three crashes");
        assertEquals(new CallerAnswers.Lookup.Found(JobState.FAILED), fleet.lookUp(1, CRASHING_JOB));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against innocent jobs that are taken along by the repetitions of a crashing task. */
    @ParameterizedTest
    @ValueSource(ints = {4, 11})
    void storedJobsBesideACrashingTaskAreCompleted(int sidecars) {
        SimulatedFleet fleet = fleetWithCrashingJob(sidecars);
        for (int number = 0; number < 8; number++) {
            fleet.submit(number % 2, "before" + number, SampleJobs.plan(3, /* durable= */ true));
        }
        fleet.submit(0, CRASHING_JOB, SampleJobs.plan(1, /* durable= */ true));
        for (int number = 0; number < 8; number++) {
            fleet.submit(number % 2, "after" + number, SampleJobs.plan(3, /* durable= */ true));
        }
        fleet.time().runUntil(60_000);

        for (int number = 0; number < 8; number++) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "before" + number));
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "after" + number));
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against a queue whose tasks crash upstreams taking the room of all other queues. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 7})
    void callersOfOtherQueuesAreServedWhileATenthOfAQueueCrashesUpstreams(long seed) {
        MixedLoad mixed = new MixedLoad(3, SPEEDS);
        mixed.submitAll(USUAL_LOAD, seed, /* arrivalSeconds= */ 2);
        mixed.setCrashingShare(0.1);
        mixed.submitAll(USUAL_LOAD, seed + 100, /* arrivalSeconds= */ 10);
        mixed.setCrashingShare(0);
        mixed.submitAll(USUAL_LOAD, seed + 200, /* arrivalSeconds= */ 4);
        mixed.awaitCompletion();

        double others = mixed.earnedFraction(kind -> kind != MixedLoad.CHECK);
        assertTrue(others >= OVERLOAD_TARGET, () -> others + " of the possible value of other queues");
        for (MixedLoad.SubmittedJob job : mixed.submittedJobs()) {
            assertEquals(1, job.caller().answers().size(), "each caller is answered exactly once");
        }
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
    }
}
