package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.upstream.SidecarController;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which reports of a sidecar tell its room, and that a status follows where they don't. */
class RoomInReportsTest {
    private static final String ENTRY = SingleSidecar.ENTRY;
    private static final Resources NEED = new Resources(1_600, 64, 0);
    /** Time in which a scheduled status is sent, in milliseconds; shorter than the interval of periodic ones. */
    private static final long STATUS_MILLISECONDS = 25;

    private final SingleSidecar single = new SingleSidecar(/* taskMilliseconds= */ 100);
    private final VirtualTime time = single.time();
    private final List<JobFrame> frames = single.frames();
    private final SidecarController sidecar = single.controller();
    private long sequence;

    private static RunIdentity run(int task, int number) {
        return new RunIdentity(new TaskIdentity("job", 0, 0, task), number);
    }

    private void dispatch(RunIdentity run, Resources need, String queue) {
        sequence++;
        sidecar.handleFrame(
                ENTRY,
                new JobFrame.Dispatch(sequence, run, "payload", need, 100, 5_000, 0, false, true, queue, false, 0));
    }

    private JobFrame.Report reportOn(RunIdentity run) {
        return single.finalReportOn(run).orElseThrow();
    }

    private boolean isStatusSentSoon() {
        frames.clear();
        time.runUntil(time.now() + STATUS_MILLISECONDS);
        return frames.stream().anyMatch(JobFrame.Status.class::isInstance);
    }

    /** Room in a refusal would attract the same task again at once if the lack of room is not its cause. */
    @ParameterizedTest
    @CsvSource({
        "100, 1600, 2, other-run, false",
        "101, 17000, 1, larger-than-upstream, false",
        "101, 16000, 1, no-room, true"
    })
    void refusalTellsRoomOnlyForLackOfIt(int task, long need, int number, String reason, boolean room) {
        dispatch(run(100, 1), NEED, "queue");
        dispatch(run(task, number), new Resources(need, 64, 0), "queue");
        JobFrame.Report refusal = reportOn(run(task, number));
        assertEquals(RunOutcome.REFUSED, refusal.outcome());
        assertEquals(reason, refusal.reason());
        assertEquals(room, refusal.room().isPresent());
        assertEquals(!room, isStatusSentSoon());
    }

    /** An entry whose build names no queue skips room in reports, and is told by a status. */
    @ParameterizedTest
    @CsvSource({"queue, true", "'', false"})
    void roomIsToldOnlyToBuildsThatReadIt(String queue, boolean room) {
        dispatch(run(0, 1), NEED, queue);
        assertTrue(!isStatusSentSoon() || !room);
        sidecar.handleFrame(ENTRY, new JobFrame.Withdraw(run(0, 1)));
        time.runUntil(time.now() + 5);
        assertEquals(room, reportOn(run(0, 1)).room().isPresent());
        assertEquals(!room, isStatusSentSoon());
    }

    /** What the build of an entry reads is learnt anew on each link, as another build may have taken its place. */
    @ParameterizedTest
    @ValueSource(strings = {"queue", ""})
    void buildIsLearntOnEachLink(String queue) {
        dispatch(run(0, 1), NEED, "queue");
        sidecar.handleLinkClosed(ENTRY);
        sidecar.handleLinkOpened(ENTRY);
        dispatch(run(1, 1), NEED, queue);
        sidecar.handleFrame(ENTRY, new JobFrame.Withdraw(run(1, 1)));
        time.runUntil(time.now() + 5);
        assertEquals(!queue.isEmpty(), reportOn(run(1, 1)).room().isPresent());
    }

    @Test
    void answerOnAnUnknownRunTellsRoom() {
        dispatch(run(0, 1), NEED, "queue");
        sidecar.handleFrame(ENTRY, new JobFrame.Withdraw(run(7, 1)));
        assertEquals(RunOutcome.STOPPED, reportOn(run(7, 1)).outcome());
        assertTrue(reportOn(run(7, 1)).room().isPresent());
    }
}
