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

/**
 * Measures, for each finished attempt, the heap memory that the ledger (the record of attempts at a sidecar process)
 * uses and the time that the sidecar's state machine takes. Fencing token 0 stands for a task without a claim, the
 * exclusive right of an entry process to run a submission.
 */
class LedgerMemoryMeasurement {
    /** Number of finished attempts and ledger lines. */
    private static final int LEDGER_LINES = 200_000;

    private static final int GARBAGE_COLLECTIONS = 3;
    private static final ProcessId SELF = new ProcessId("sidecar-1", /* incarnation= */ 1);
    private static final ProcessId ENTRY = new ProcessId("entry-1", 1);

    @ParameterizedTest
    @CsvSource({"1, 100, 0", "1, 100, 100", "1, 100, 1000", "1, 1, 100", "0, 1, 100"})
    void finishedAttempts(long fence, int tasksOfSubmission, int resultBytes) {
        SidecarMachine machine = new SidecarMachine(
                SELF,
                new SidecarPolicy(
                        /* announcementTimeout= */ Duration.ofSeconds(3),
                        /* maximumQueuedPerSlot= */ 1,
                        /* ledgerRetention= */ Duration.ofMinutes(10),
                        /* maximumLedgerLines= */ 2 * LEDGER_LINES,
                        /* maximumResultBytes= */ Long.MAX_VALUE));
        Instant now = Instant.EPOCH;
        machine.handleEvent(new SidecarEvent.EntryLinked(ENTRY), now);
        machine.handleEvent(
                new SidecarEvent.UpstreamAnnounced(
                        new UpstreamDescription(
                                "upstream-1",
                                Set.of("assay"),
                                /* slots= */ 8,
                                /* connections= */ 64,
                                "worker",
                                "rack",
                                "zone"),
                        /* leaving= */ false),
                now);
        long heapBytesBefore = usedHeapBytes();
        long startedAtNanoseconds = System.nanoTime();
        for (int line = 0; line < LEDGER_LINES; line++) {
            run(machine, attempt(fence, line, tasksOfSubmission), resultBytes, now);
        }
        long nanoseconds = System.nanoTime() - startedAtNanoseconds;
        long heapBytesAfter = usedHeapBytes();
        assertEquals(LEDGER_LINES, machine.load().ledgerLines());
        System.out.println(EventLine.of("ledger-memory")
                .with("fence", fence)
                .with("tasksOfSubmission", tasksOfSubmission)
                .with("resultBytes", resultBytes)
                .with("bytesPerLine", (heapBytesAfter - heapBytesBefore) / LEDGER_LINES)
                .with("machineNanosecondsPerTask", nanoseconds / LEDGER_LINES));
        Reference.reachabilityFence(machine);
    }

    private static void run(SidecarMachine machine, AttemptId attempt, int resultBytes, Instant now) {
        ReceivedDispatch dispatch =
                new ReceivedDispatch(attempt, "assay", "{}", /* claimAge= */ Duration.ZERO, Duration.ofSeconds(5));
        machine.handleEvent(new SidecarEvent.DispatchReceived(ENTRY, SELF, List.of(dispatch), /* demand= */ 0), now);
        machine.handleEvent(
                new SidecarEvent.RunEnded(
                        attempt, new TaskOutcome.Completed("x".repeat(resultBytes), Duration.ofMillis(50))),
                now);
    }

    /** Creates an identity with its own string objects, as the codec does, so that the measured heap includes them. */
    private static AttemptId attempt(long fence, int line, int tasksOfSubmission) {
        String key = String.format("11111111-2222-3333-4444-%012d", line / tasksOfSubmission);
        SubmissionId submission = new SubmissionId(new String("team-17".toCharArray()), key);
        return new AttemptId(new TaskKey(submission, "task-" + line % tasksOfSubmission), fence, /* attempt= */ 1);
    }

    private static long usedHeapBytes() {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
