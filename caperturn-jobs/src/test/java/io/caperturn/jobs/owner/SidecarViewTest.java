package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the free capacity of a sidecar as an entry knows it from statuses, reports and its own dispatches. */
class SidecarViewTest {
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    private static final Resources NEED = new Resources(2_000, 64, 0);
    private static final RunIdentity RUN = new RunIdentity(new TaskIdentity("job", 0, 0, 0), 1);
    private static final int DISPATCHES = 4;

    private final SidecarView view = new SidecarView(
            new JobFrame.Hello(ProcessRole.SIDECAR, "node", "node~1", /* zone= */ ""),
            new ZoneEvacuations(new VirtualLoop(new VirtualTime(), "entry")));

    private void dispatchAll() {
        view.linkOpened();
        view.updateStatus(
                new JobFrame.Status(
                        true,
                        "service",
                        CAPACITY,
                        CAPACITY,
                        0,
                        0,
                        List.of(),
                        0,
                        JobFrame.Status.NO_RENEWAL,
                        /* coldMilliseconds= */ 0,
                        /* crashes= */ List.of(),
                        /* upstreamNumber= */ 1,
                        /* awaitingDescription= */ false),
                /* now= */ 1);
        for (int number = 0; number < DISPATCHES; number++) {
            view.recordDispatch(NEED, /* work= */ 100, /* now= */ 1);
        }
    }

    private void report(RunOutcome outcome, String reason, Optional<JobFrame.Room> room) {
        view.applyRoom(new JobFrame.Report(RUN, outcome, 0, reason, room), Optional.empty(), /* now= */ 2);
    }

    private static Optional<JobFrame.Room> room(long freeAtSidecar, long dispatchesSeen) {
        return Optional.of(new JobFrame.Room(new Resources(freeAtSidecar, 1_000, 0), 0, dispatchesSeen));
    }

    /** The sidecar has received a part of the dispatches, and tasks of other entries use some of its capacity. */
    @ParameterizedTest
    @CsvSource({"0, 16000, 8000", "1, 9000, 3000", "4, 3000, 3000", "4, -1600, -1600"})
    void roomOfAReportReplacesThatOfTheStatus(long dispatchesSeen, long freeAtSidecar, long expected) {
        dispatchAll();
        report(RunOutcome.DONE, "", room(freeAtSidecar, dispatchesSeen));
        assertEquals(expected, view.freeResources().processorMillis());
    }

    @ParameterizedTest
    @CsvSource({"1, 8000", "4, 2000"})
    void roomOfARefusalCanBeUsedAtOnce(long dispatchesSeen, long freeAtSidecar) {
        dispatchAll();
        report(RunOutcome.REFUSED, JobFrame.Report.NO_ROOM, room(freeAtSidecar, dispatchesSeen));
        assertEquals(2_000, view.freeResources().processorMillis());
    }

    /** The sidecar sends no news of a dispatched task that need not wait, which is no waiting work. */
    @ParameterizedTest
    @CsvSource({"1, 400", "21, 400", "22, 0", "300, 0"})
    void dispatchesCountAsWaitingWorkOnlyOnTheirWay(long now, long expected) {
        dispatchAll();
        assertEquals(expected, view.waitingWork(now));
        assertEquals(8_000, view.freeResources().processorMillis());
    }

    /** A report of an older build tells no room, and is about a run that is not the current one of its task. */
    @ParameterizedTest
    @EnumSource(RunOutcome.class)
    void reportOnAnEarlierRunWithoutRoomChangesNothing(RunOutcome outcome) {
        dispatchAll();
        report(outcome, JobFrame.Report.NO_ROOM, Optional.empty());
        assertEquals(8_000, view.freeResources().processorMillis());
    }
}
