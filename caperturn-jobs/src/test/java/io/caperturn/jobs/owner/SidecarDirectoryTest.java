package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what an entry (process that accepts jobs) keeps of an upstream when its sidecar sends another status. */
class SidecarDirectoryTest {
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);

    private final VirtualLoop loop = new VirtualLoop(new VirtualTime(), "entry");
    private final SidecarDirectory directory = new SidecarDirectory(loop, (to, frame) -> {}, new ZoneEvacuations(loop));

    private void applyStatus(SidecarView view, long upstreamNumber) {
        JobFrame.Status status = new JobFrame.Status(
                /* usable= */ true,
                "service",
                CAPACITY,
                CAPACITY,
                /* waitingWork= */ 0,
                /* runningTasks= */ 0,
                /* labels= */ List.of(),
                /* dispatchesSeen= */ 0,
                JobFrame.Status.NO_RENEWAL,
                /* coldMilliseconds= */ 0,
                /* crashes= */ List.of(),
                upstreamNumber,
                /* awaitingDescription= */ false);
        directory.applyStatus(view, status, /* renewStoredRuns= */ true);
    }

    /** Guards against an upstream that gets no tasks because runs had failed on the incarnation before. */
    @ParameterizedTest
    @CsvSource({"1, 1, true", "1, 2, false", "0, 0, true"})
    void ejectionEndsWithTheIncarnationOfTheUpstream(long numberBefore, long numberAfter, boolean ejected) {
        JobFrame.Hello hello = new JobFrame.Hello(ProcessRole.SIDECAR, "node", "node~1", /* zone= */ "");
        directory.linkOpened(hello);
        SidecarView view = directory.find(hello.incarnation()).orElseThrow();
        applyStatus(view, numberBefore);
        for (int job = 0; job < 3; job++) {
            view.setHealth(view.health().afterFailure("job-" + job, loop.monotonicMilliseconds()));
        }
        applyStatus(view, numberAfter);

        assertEquals(ejected, view.health().isEjected(loop.monotonicMilliseconds()));
    }
}
