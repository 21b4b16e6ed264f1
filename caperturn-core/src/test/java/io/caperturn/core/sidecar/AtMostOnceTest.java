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
 * Tests the guarantees of the ledger (the record of attempts in a sidecar) in random sessions with duplicate
 * dispatches, resolves, fences, cancels, lost links and upstreams that stop serving: no task under a claim starts
 * twice, and no attempt that was reported as not started runs.
 */
class AtMostOnceTest {
    private static final int EVENTS = 3_000;
    private static final int TASKS = 40;
    private static final int HIGHEST_FENCE = 3;
    private static final int HIGHEST_ATTEMPT = 4;
    private static final int SLOTS = 3;
    private static final SidecarPolicy POLICY =
            new SidecarPolicy(Duration.ofSeconds(3), 2, SidecarScenario.REACH, 10_000, 1_000_000);

    private final Set<AttemptId> reportedNotStarted = new HashSet<>();
    private final Set<AttemptId> running = new HashSet<>();
    private final Set<TaskKey> startedTasks = new HashSet<>();

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 30);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskUnderClaimStartsTwiceAndNoRefusedAttemptRuns(int seed) {
        Random random = new Random(seed);
        SidecarScenario scenario = SidecarScenario.serving(SLOTS, POLICY);
        int starts = 0;
        for (int event = 0; event < EVENTS; event++) {
            scenario.advance(Duration.ofMillis(random.nextInt(5)));
            for (SidecarMachineCommand command : scenario.on(randomEvent(random))) {
                starts += check(command);
            }
            assertTrue(running.size() <= SLOTS, "more runs than slots");
        }
        assertTrue(starts >= TASKS / 2, "too few starts for a meaningful check: " + starts);
    }

    private SidecarEvent randomEvent(Random random) {
        ProcessId entry = random.nextBoolean() ? FIRST_ENTRY : SECOND_ENTRY;
        AttemptId attempt = SidecarScenario.attempt(
                random.nextInt(TASKS), 1 + random.nextInt(HIGHEST_FENCE), 1 + random.nextInt(HIGHEST_ATTEMPT));
        int choice = random.nextInt(100);
        if (choice < 45) {
            ProcessId addressee = random.nextInt(20) == 0 ? SidecarScenario.EARLIER_SELF : SidecarScenario.SELF;
            return new SidecarEvent.DispatchReceived(
                    entry,
                    addressee,
                    List.of(SidecarScenario.receivedDispatch(attempt, "assay", Duration.ZERO)),
                    random.nextInt(3));
        }
        if (choice < 70 && !running.isEmpty()) {
            return randomRunEnd(random);
        }
        return switch (choice % 10) {
            case 0, 1 -> new SidecarEvent.ResolveReceived(entry, SidecarScenario.SELF, attempt);
            case 2, 3 -> new SidecarEvent.CancelReceived(entry, List.of(attempt));
            case 4 -> new SidecarEvent.EntryLost(entry);
            case 5 -> new SidecarEvent.EntryLinked(entry);
            case 6 -> random.nextInt(50) == 0 ? new SidecarEvent.FenceReceived(entry, JOB, attempt.fence()) : tick();
            case 7 -> new SidecarEvent.UpstreamAnnounced(SidecarScenario.upstream(SLOTS, 64), random.nextInt(4) == 0);
            default -> new SidecarEvent.UpstreamAnnounced(SidecarScenario.upstream(SLOTS, 64), false);
        };
    }

    private SidecarEvent randomRunEnd(Random random) {
        AttemptId endedAttempt = new ArrayList<>(running).get(random.nextInt(running.size()));
        running.remove(endedAttempt);
        if (random.nextInt(4) == 0) {
            // The upstream refused the run, so that the task may start again.
            startedTasks.remove(endedAttempt.key());
            return new SidecarEvent.RunEnded(
                    endedAttempt, new TaskOutcome.Failed(Execution.NOT_RUN, "refused", Duration.ZERO));
        }
        return new SidecarEvent.RunEnded(endedAttempt, SidecarScenario.completed("{}"));
    }

    /** Checks one command against the guarantees and returns the number of starts in it. */
    private int check(SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun start -> {
                assertTrue(startedTasks.add(start.attempt().key()), () -> "second start: " + start);
                assertFalse(reportedNotStarted.contains(start.attempt()), () -> "start after a refusal: " + start);
                running.add(start.attempt());
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
            assertFalse(running.contains(report.attempt()), () -> "refusal of work that started: " + report);
            reportedNotStarted.add(report.attempt());
        }
    }

    private static SidecarEvent tick() {
        return new SidecarEvent.Tick();
    }
}
