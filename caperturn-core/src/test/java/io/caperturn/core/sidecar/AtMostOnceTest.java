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

/** Promises of the ledger over random sessions: duplicates, resolves, fences, cancels, lost links and closed gates. */
class AtMostOnceTest {
    private static final int EVENTS = 3_000;
    private static final int TASKS = 40;
    private static final int HIGHEST_FENCE = 3;
    private static final int HIGHEST_ATTEMPT = 4;
    private static final int SLOTS = 3;
    private static final SidecarPolicy POLICY =
            new SidecarPolicy(Duration.ofSeconds(3), 2, SidecarScenario.REACH, 10_000, 1_000_000);

    private final Set<AttemptId> denied = new HashSet<>();
    private final Set<AttemptId> running = new HashSet<>();
    private final Set<TaskKey> mayNotStart = new HashSet<>();

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 30);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskUnderClaimStartsTwiceAndNoRefusalIsFalse(int seed) {
        Random random = new Random(seed);
        SidecarScenario scenario = SidecarScenario.serving(SLOTS, POLICY);
        int starts = 0;
        for (int event = 0; event < EVENTS; event++) {
            scenario.advance(Duration.ofMillis(random.nextInt(5)));
            for (SidecarMachineCommand command : scenario.on(draw(random))) {
                starts += check(command);
            }
            assertTrue(running.size() <= SLOTS, "more runs than slots");
        }
        assertTrue(starts >= TASKS / 2, "too few starts to prove anything: " + starts);
    }

    private SidecarEvent draw(Random random) {
        ProcessId entry = random.nextBoolean() ? FIRST_ENTRY : SECOND_ENTRY;
        AttemptId attempt = SidecarScenario.attempt(
                random.nextInt(TASKS), 1 + random.nextInt(HIGHEST_FENCE), 1 + random.nextInt(HIGHEST_ATTEMPT));
        int choice = random.nextInt(100);
        if (choice < 45) {
            ProcessId addressee = random.nextInt(20) == 0 ? SidecarScenario.EARLIER_SELF : SidecarScenario.SELF;
            return new SidecarEvent.DispatchReceived(
                    entry,
                    addressee,
                    List.of(SidecarScenario.received(attempt, "assay", Duration.ZERO)),
                    random.nextInt(3));
        }
        if (choice < 70 && !running.isEmpty()) {
            return drawEnd(random);
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

    private SidecarEvent drawEnd(Random random) {
        AttemptId ended = new ArrayList<>(running).get(random.nextInt(running.size()));
        running.remove(ended);
        if (random.nextInt(4) == 0) {
            mayNotStart.remove(ended.key());
            return new SidecarEvent.RunEnded(
                    ended, new TaskOutcome.Failed(Execution.NOT_RUN, "refused", Duration.ZERO));
        }
        return new SidecarEvent.RunEnded(ended, SidecarScenario.completed("{}"));
    }

    /** Checks one command against the promises and returns the number of starts in it. */
    private int check(SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun start -> {
                assertTrue(mayNotStart.add(start.attempt().key()), () -> "second start: " + start);
                assertFalse(denied.contains(start.attempt()), () -> "start after a refusal: " + start);
                running.add(start.attempt());
                return 1;
            }
            case SidecarMachineCommand.SendReports reports -> reports.reports().forEach(this::note);
            case SidecarMachineCommand.SendFenced fenced -> fenced.reports().forEach(this::note);
            case SidecarMachineCommand.SendResolved resolved -> note(new AttemptReport(resolved.attempt(), resolved.state()));
            default -> {}
        }
        return 0;
    }

    private void note(AttemptReport report) {
        if (report.state() instanceof AttemptState.NotStarted) {
            assertFalse(running.contains(report.attempt()), () -> "refusal of what runs: " + report);
            denied.add(report.attempt());
        }
    }

    private static SidecarEvent tick() {
        return new SidecarEvent.Tick();
    }
}
