package io.caperturn.sidecar.measurement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import io.caperturn.core.sidecar.SidecarMachine;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.EventLine;
import java.lang.ref.Reference;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Heap that the ledger takes for each ended attempt, and the time that the machine takes for it. */
class LedgerMemoryMeasurement {
    private static final int LINES = 200_000;
    private static final int COLLECTIONS = 3;
    private static final ProcessId SELF = new ProcessId("sidecar-1", 1);
    private static final ProcessId ENTRY = new ProcessId("entry-1", 1);

    @ParameterizedTest
    @CsvSource({"1, 100, 0", "1, 100, 100", "1, 100, 1000", "1, 1, 100", "0, 1, 100"})
    void endedAttempts(long fence, int tasksOfSubmission, int resultBytes) {
        SidecarMachine machine = new SidecarMachine(
                SELF, new SidecarPolicy(Duration.ofSeconds(3), 1, Duration.ofMinutes(10), 2 * LINES, Long.MAX_VALUE));
        Instant now = Instant.EPOCH;
        machine.on(new SidecarEvent.EntryLinked(ENTRY), now);
        machine.on(
                new SidecarEvent.UpstreamAnnounced(
                        new UpstreamDescription("upstream-1", Set.of("assay"), 8, 64, "worker", "rack", "zone"), false),
                now);
        long before = usedHeap();
        long begun = System.nanoTime();
        for (int line = 0; line < LINES; line++) {
            run(machine, attempt(fence, line, tasksOfSubmission), resultBytes, now);
        }
        long nanoseconds = System.nanoTime() - begun;
        long after = usedHeap();
        assertEquals(LINES, machine.load().ledgerLines());
        System.out.println(EventLine.of("ledger-memory")
                .with("fence", fence)
                .with("tasksOfSubmission", tasksOfSubmission)
                .with("resultBytes", resultBytes)
                .with("bytesPerLine", (after - before) / LINES)
                .with("machineNanosecondsPerTask", nanoseconds / LINES));
        Reference.reachabilityFence(machine);
    }

    private static void run(SidecarMachine machine, AttemptId attempt, int resultBytes, Instant now) {
        ReceivedDispatch dispatch = new ReceivedDispatch(attempt, "assay", "{}", Duration.ZERO, Duration.ofSeconds(5));
        machine.on(new SidecarEvent.DispatchReceived(ENTRY, SELF, List.of(dispatch), 0), now);
        machine.on(
                new SidecarEvent.RunEnded(
                        attempt, new TaskOutcome.Completed("x".repeat(resultBytes), Duration.ofMillis(50))),
                now);
    }

    /** Builds identities as the codec does: each line has strings of its own. */
    private static AttemptId attempt(long fence, int line, int tasksOfSubmission) {
        String key = String.format("11111111-2222-3333-4444-%012d", line / tasksOfSubmission);
        SubmissionId submission = new SubmissionId(new String("team-17".toCharArray()), key);
        return new AttemptId(new TaskKey(submission, "task-" + line % tasksOfSubmission), fence, 1);
    }

    private static long usedHeap() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
