package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests upstreams that announce their stop while runs are active; all times are virtual and in milliseconds. */
class StoppingUpstreamTest {
    private static final long TASK_MILLISECONDS = 8_000;
    private static final int TASKS = 6;
    /** Time from the end of an upstream until its runs are repeated elsewhere, at most. */
    private static final long REPETITION_MILLISECONDS = 200;

    private final SimulatedFleet fleet = new SimulatedFleet(1, 3, task -> TASK_MILLISECONDS);

    private void submitAndAnnounceStop(boolean durable) {
        fleet.submit(0, "job", SampleJobs.plan(TASKS, durable, TASK_MILLISECONDS));
        advance(1_000);
        assertTrue(fleet.upstream(0).activeRunCount() > 0, "some tasks run on the upstream that stops");
        fleet.loop("sidecar-0")
                .run(() -> fleet.sidecar(0).handleStopNotice(fleet.upstream(0).identity()));
    }

    private void advance(long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
    }

    /**
     * Guards against tasks that run twice because a notice that was not acknowledged is taken for the end of the runs.
     */
    @ParameterizedTest
    @CsvSource({"true, 3000", "false, 3000", "true, 10", "false, 500"})
    void runsOfAnUpstreamThatGoesOnAfterItsNoticeAreNotRepeatedBeforeItsEnd(boolean durable, long lingerMilliseconds) {
        submitAndAnnounceStop(durable);
        int startsBefore = fleet.recordOfStarts().startCount();
        advance(lingerMilliseconds);
        assertEquals(startsBefore, fleet.recordOfStarts().startCount(), fleet::logLines);
        int active = fleet.upstream(0).activeRunCount();
        fleet.upstream(0).crash(/* downtimeMilliseconds= */ 60_000);
        advance(REPETITION_MILLISECONDS);
        assertEquals(startsBefore + active, fleet.recordOfStarts().startCount(), fleet::logLines);
        advance(2 * TASK_MILLISECONDS);

        for (int index = 0; index < TASKS; index++) {
            assertTrue(fleet.recordOfStarts().hasSucceeded(new TaskIdentity("job", 0, 0, index)));
        }
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against a wait without an end if the port of an upstream that has stopped does not refuse connections. */
    @Test
    void runsOfAnUpstreamThatFallsSilentAfterItsNoticeAreRepeatedWhenTheirLeaseHasExpired() {
        submitAndAnnounceStop(/* durable= */ true);
        fleet.upstream(0).setCrashMode(CrashMode.SILENT);
        fleet.upstream(0).crash(/* downtimeMilliseconds= */ 60_000);
        advance(3 * TASK_MILLISECONDS);

        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against tasks on an upstream that stops, whose late heartbeats or listings make it look usable again. */
    @Test
    void upstreamThatHasAnnouncedItsStopGetsNoMoreTasks() {
        submitAndAnnounceStop(/* durable= */ true);
        fleet.loop("sidecar-0")
                .run(() -> fleet.sidecar(0).restoreUpstream(fleet.upstream(0).description()));
        int active = fleet.upstream(0).activeRunCount();
        for (int number = 0; number < 10; number++) {
            fleet.submit(0, "later" + number, SampleJobs.plan(2, /* durable= */ true, TASK_MILLISECONDS));
            advance(200);
        }
        assertEquals(active, fleet.upstream(0).activeRunCount(), fleet::logLines);
    }

    /**
     * Guards against a task that is repeated because a sidecar took a run for stopped that its upstream never listed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unknownRunIsReportedAsStoppedOnlyOnceTheUpstreamHasListedItsRuns(boolean listed) {
        SingleSidecar sidecar = new SingleSidecar(TASK_MILLISECONDS);
        if (!listed) {
            sidecar.upstream().refuseConnections(true);
            sidecar.upstream().restart();
            sidecar.announce();
        }
        RunIdentity unknown = new RunIdentity(new TaskIdentity("job", 0, 0, 0), 1);
        sidecar.controller().handleFrame(SingleSidecar.ENTRY, new JobFrame.Withdraw(unknown));
        assertEquals(listed, sidecar.finalReportOn(unknown).isPresent());
    }
}
