package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests ends of runs whose owner a sidecar does not know, or which that owner does not confirm. An upstream discards
 * ends in their order and lists 500 of them, so that one which is never confirmed hides those of all jobs. All times
 * are virtual and in milliseconds.
 */
class UnconfirmedEndsTest {
    private static final long SHORT_MILLISECONDS = 700;
    private static final long LONG_MILLISECONDS = 100_000;
    private static final int SHORT_TASKS = 24;
    private static final int SIDECARS = 3;
    /** Time after a disruption by which ends have to be acknowledged, as the users' platform states it. */
    private static final long ACKNOWLEDGEMENT_MILLISECONDS = 4_000;
    /** Longest time for which an end of one job may hold up the acknowledgement of others. */
    private static final long LONGEST_BLOCK_MILLISECONDS = 11_000;

    private static long durationOf(TaskIdentity task) {
        return task.step() == 1 ? LONG_MILLISECONDS : SHORT_MILLISECONDS;
    }

    /** Returns a job of many short tasks beside a long one. */
    private static JobPlan planWithLongTask(boolean durable) {
        Resources need = new Resources(1_600, 64, 0);
        return new JobPlan(
                "queue",
                "payload",
                List.of(
                        new StepPlan(SHORT_TASKS, need, SHORT_MILLISECONDS, List.of(), "", "", 0),
                        new StepPlan(1, need, LONG_MILLISECONDS, List.of(), "", "", 0)),
                durable);
    }

    private static void advance(SimulatedFleet fleet, long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
    }

    private static int unacknowledgedEnds(SimulatedFleet fleet) {
        int ends = 0;
        for (int number = 0; number < SIDECARS; number++) {
            ends += fleet.upstream(number).listing().completions().size();
        }
        return ends;
    }

    /** Cuts an upstream off while short tasks run there; they end within its lease, and run again elsewhere. */
    private static void cutOffUpstream(SimulatedFleet fleet) {
        advance(fleet, 350);
        assertTrue(fleet.upstream(0).activeRunCount() > 1, "short tasks run at the upstream that is cut off");
        fleet.upstream(0).unansweredOrders().setCutOff(true);
        advance(fleet, 4_000);
        assertTrue(fleet.upstream(0).hasCompletions(), "tasks have ended during the cut");
        fleet.upstream(0).unansweredOrders().setCutOff(false);
    }

    /** Guards against ends that are never acknowledged because their runs had been given up when they were listed. */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "3, true", "1, false", "3, false"})
    void endsOfRunsThatWereGivenUpAreAcknowledgedWhileTheirJobLasts(int entries, boolean durable) {
        SimulatedFleet fleet = new SimulatedFleet(entries, SIDECARS, UnconfirmedEndsTest::durationOf);
        fleet.submit(0, "job", planWithLongTask(durable));
        cutOffUpstream(fleet);
        advance(fleet, ACKNOWLEDGEMENT_MILLISECONDS);

        assertEquals(0, unacknowledgedEnds(fleet), fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        if (durable) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.RUNNING), fleet.lookUp(0, "job"));
        }
    }

    /** Guards against ends that stay unconfirmed because the confirmations were lost with no link. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void endsAreAcknowledgedAlthoughConfirmationsWereLost(int entries) {
        SimulatedFleet fleet = new SimulatedFleet(entries, SIDECARS, UnconfirmedEndsTest::durationOf);
        fleet.traffic().loseFrames(JobFrame.Settled.class);
        fleet.submit(0, "job", planWithLongTask(/* durable= */ true));
        advance(fleet, 3_000);
        assertTrue(unacknowledgedEnds(fleet) > 0);
        fleet.traffic().loseFrames(null);
        advance(fleet, 2 * ACKNOWLEDGEMENT_MILLISECONDS);

        assertEquals(0, unacknowledgedEnds(fleet), fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against ends that wait for an owner which cannot reach their sidecar, although others can. */
    @Test
    void endsAreAcknowledgedAlthoughTheirOwnerCannotReachTheSidecar() {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, UnconfirmedEndsTest::durationOf);
        fleet.submit(0, "job", planWithLongTask(/* durable= */ true));
        advance(fleet, 350);
        assertTrue(fleet.upstream(0).activeRunCount() > 1);
        fleet.traffic().loseFramesBetween("entry-0", "sidecar-0");
        advance(fleet, 3 * ACKNOWLEDGEMENT_MILLISECONDS);

        assertEquals(0, fleet.upstream(0).listing().completions().size(), fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against a job that cannot be stored and holds up the acknowledgement of all other jobs. */
    @Test
    void endsOfAJobThatCannotBeStoredDoNotHoldUpThoseOfOthers() {
        SimulatedFleet fleet = new SimulatedFleet(2, SIDECARS, UnconfirmedEndsTest::durationOf);
        fleet.submit(0, "job", planWithLongTask(/* durable= */ true));
        advance(fleet, 350);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), true);
        int submitted = 0;
        for (long waited = 0; waited < LONGEST_BLOCK_MILLISECONDS + SHORT_MILLISECONDS; waited += 100) {
            fleet.submit(1, "other-" + submitted++, SampleJobs.plan(2, /* durable= */ true, SHORT_MILLISECONDS));
            advance(fleet, 100);
        }
        advance(fleet, 2 * SHORT_MILLISECONDS);

        assertEquals(0, unacknowledgedEnds(fleet), fleet::logLines);
        fleet.store().setWritesRefused(fleet.loop("entry-0"), false);
        advance(fleet, LONG_MILLISECONDS);
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "job"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against ends of a whole fleet that are given up as unstorable because the store is away. */
    @Test
    void endsStayWithTheirUpstreamWhileTheStoreIsAway() {
        SimulatedFleet fleet = new SimulatedFleet(2, SIDECARS, UnconfirmedEndsTest::durationOf);
        fleet.submit(0, "job", planWithLongTask(/* durable= */ true));
        advance(fleet, 350);
        fleet.store().setFault(MemoryStore.Fault.BUSY);
        advance(fleet, 2 * LONGEST_BLOCK_MILLISECONDS);
        assertEquals(SHORT_TASKS, unacknowledgedEnds(fleet), fleet::logLines);
        fleet.store().setFault(MemoryStore.Fault.NONE);
        advance(fleet, 2 * ACKNOWLEDGEMENT_MILLISECONDS);

        assertEquals(0, unacknowledgedEnds(fleet), fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }
}
