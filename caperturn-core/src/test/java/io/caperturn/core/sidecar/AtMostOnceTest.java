package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.JOB;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests in random sessions that a sidecar process starts no task under a claim twice, and runs no attempt that it
 * reported as not started.
 *
 * <p>The sessions have duplicate dispatches, requests that resolve (query) or cancel an attempt or that fence a
 * submission (refuse its former owner), lost links and upstreams that stop serving.
 */
class AtMostOnceTest {
    private static final int EVENT_COUNT = 3_000;
    private static final int TASK_COUNT = 40;
    private static final int HIGHEST_FENCE = 3;
    private static final int HIGHEST_ATTEMPT = 4;
    private static final int SLOT_COUNT = 3;
    /** Policy with two queued attempts for each slot and more ledger lines than a session needs. */
    private static final SidecarPolicy POLICY = new SidecarPolicy(
            /* announcementTimeout= */ Duration.ofSeconds(3), 2, SidecarScenario.LEDGER_RETENTION, 10_000, 1_000_000);

    private final Set<AttemptId> reportedNotStarted = new HashSet<>();
    private final Set<AttemptId> runningAttempts = new HashSet<>();
    private final Set<TaskKey> startedTasks = new HashSet<>();

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 30);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskUnderClaimStartsTwiceAndNoRefusedAttemptRuns(int seed) {
        Random random = new Random(seed);
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(SLOT_COUNT, POLICY);
        int starts = 0;
        for (int event = 0; event < EVENT_COUNT; event++) {
            scenario.advance(Duration.ofMillis(random.nextInt(5)));
            for (SidecarMachineCommand command : scenario.send(randomEvent(random))) {
                starts += checkCommand(command);
            }
            assertTrue(runningAttempts.size() <= SLOT_COUNT, "more runs than slots");
        }
        assertTrue(starts >= TASK_COUNT / 2, "too few starts for a meaningful check: " + starts);
    }

    private SidecarEvent randomEvent(Random random) {
        ProcessId entry = random.nextBoolean() ? FIRST_ENTRY : SECOND_ENTRY;
        AttemptId attempt = SidecarScenario.attempt(
                random.nextInt(TASK_COUNT), 1 + random.nextInt(HIGHEST_FENCE), 1 + random.nextInt(HIGHEST_ATTEMPT));
        int choice = random.nextInt(100);
        if (choice < 45) {
            ProcessId addressee =
                    random.nextInt(20) == 0 ? SidecarScenario.EARLIER_INCARNATION_OF_SELF : SidecarScenario.SELF;
            return new SidecarEvent.DispatchReceived(
                    entry,
                    addressee,
                    List.of(SidecarScenario.receivedDispatch(attempt, "assay", Duration.ZERO)),
                    /* demand= */ random.nextInt(3));
        }
        if (choice < 70 && !runningAttempts.isEmpty()) {
            return randomRunEnd(random);
        }
        return switch (choice % 10) {
            case 0, 1 -> new SidecarEvent.ResolveReceived(entry, SidecarScenario.SELF, attempt);
            case 2, 3 -> new SidecarEvent.CancelReceived(entry, List.of(attempt));
            case 4 -> new SidecarEvent.EntryLost(entry);
            case 5 -> new SidecarEvent.EntryLinked(entry);
            case 6 -> random.nextInt(50) == 0 ? new SidecarEvent.FenceReceived(entry, JOB, attempt.fence()) : tick();
            case 7 ->
                new SidecarEvent.UpstreamAnnounced(
                        SidecarScenario.upstreamWithSlotsAndConnections(SLOT_COUNT, 64),
                        /* leaving= */ random.nextInt(4) == 0);
            default ->
                new SidecarEvent.UpstreamAnnounced(
                        SidecarScenario.upstreamWithSlotsAndConnections(SLOT_COUNT, 64), false);
        };
    }

    private SidecarEvent randomRunEnd(Random random) {
        AttemptId endedAttempt = new ArrayList<>(runningAttempts).get(random.nextInt(runningAttempts.size()));
        runningAttempts.remove(endedAttempt);
        if (random.nextInt(4) == 0) {
            // The upstream refused the run, so that the task is allowed to start again.
            startedTasks.remove(endedAttempt.key());
            return new SidecarEvent.RunEnded(
                    endedAttempt, new TaskOutcome.Failed(Execution.NOT_RUN, "refused", Duration.ZERO));
        }
        return new SidecarEvent.RunEnded(endedAttempt, SidecarScenario.completed("{}"));
    }

    /** Checks one command, and returns 1 if it starts a run and 0 otherwise. */
    private int checkCommand(SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun start -> {
                assertTrue(startedTasks.add(start.attempt().key()), () -> "second start: " + start);
                assertFalse(reportedNotStarted.contains(start.attempt()), () -> "start after a refusal: " + start);
                runningAttempts.add(start.attempt());
                return 1;
            }
            case SidecarMachineCommand.SendReports reports -> reports.reports().forEach(this::checkReport);
            case SidecarMachineCommand.SendFenced fenced -> fenced.reports().forEach(this::checkReport);
            case SidecarMachineCommand.SendResolved resolved ->
                checkReport(new AttemptReport(resolved.attempt(), resolved.state()));
            default -> {}
        }
        return 0;
    }

    private void checkReport(AttemptReport report) {
        if (report.state() instanceof AttemptState.NotStarted) {
            assertFalse(runningAttempts.contains(report.attempt()), () -> "refusal of work that started: " + report);
            reportedNotStarted.add(report.attempt());
        }
    }

    private static SidecarEvent tick() {
        return new SidecarEvent.Tick();
    }
}
