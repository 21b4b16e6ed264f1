package io.caperturn.entry.measurement;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.entry.SubmissionLifecycleEvent;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import io.caperturn.core.schedule.FairScheduler;
import io.caperturn.core.schedule.SchedulerPolicy;
import io.caperturn.entry.observe.EntryMetrics;
import io.caperturn.kernel.EventLine;
import java.lang.ref.Reference;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measurement of the heap that an entry process uses for each team's histogram, each waiting task and each kept answer.
 *
 * <p>Not run with the tests; {@code bin/build -o test -pl caperturn-entry -am -Dtest=EntryMemoryMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false} prints a line for each case.
 */
class EntryMemoryMeasurement {
    private static final int GARBAGE_COLLECTIONS = 3;
    /** Maximum number of unfinished tasks that this entry may have at the sidecar (process beside an upstream). */
    private static final int WINDOW = 64;

    private static final ProcessId SIDECAR = new ProcessId("sidecar-1", /* incarnation= */ 1);

    private Instant now = Instant.EPOCH;

    @ParameterizedTest
    @ValueSource(ints = {100, 710})
    void measuresTeamHistograms(int teamCount) {
        EntryMetrics metrics = new EntryMetrics();
        recordAnswer(metrics, "first");
        long heapBytesBefore = usedHeapBytes();
        IntStream.range(0, teamCount).forEach(team -> recordAnswer(metrics, "team-" + team));
        print("team-histogram", (usedHeapBytes() - heapBytesBefore) / teamCount);
        Reference.reachabilityFence(metrics);
    }

    @ParameterizedTest
    @CsvSource({"100, 1800", "5000, 20"})
    void measuresWaitingTasks(int jobs, int tasks) {
        EntryMachine machine = createMachine(/* window= */ 0);
        long heapBytesBefore = usedHeapBytes();
        IntStream.range(0, jobs).forEach(job -> submitAndGrantClaim(machine, job, tasks));
        print("waiting-task in jobs of " + tasks, (usedHeapBytes() - heapBytesBefore) / ((long) jobs * tasks));
        Reference.reachabilityFence(machine);
    }

    @Test
    void measuresKeptAnswers() {
        int jobs = 20_000;
        EntryMachine machine = createMachine(WINDOW);
        long heapBytesBefore = usedHeapBytes();
        for (int job = 0; job < jobs; job++) {
            List<EntryMachineCommand> commands = submitAndGrantClaim(machine, job, /* tasks= */ 1);
            commands.stream()
                    .filter(EntryMachineCommand.SendDispatches.class::isInstance)
                    .map(EntryMachineCommand.SendDispatches.class::cast)
                    .flatMap(send -> send.dispatches().stream())
                    .forEach(dispatch -> complete(machine, dispatch));
        }
        print("kept-answer of a job of 1 task", (usedHeapBytes() - heapBytesBefore) / jobs);
        Reference.reachabilityFence(machine);
    }

    private static void recordAnswer(EntryMetrics metrics, String team) {
        metrics.record(new SubmissionLifecycleEvent.Answered(
                new SubmissionId(team, "key"),
                "assay",
                Urgency.NORMAL,
                Optional.empty(),
                Execution.RAN,
                Duration.ofMillis(60)));
    }

    private EntryMachine createMachine(int window) {
        EntryMachine machine = new EntryMachine(new FairScheduler(SchedulerPolicy.DEFAULT), EntryPolicy.DEFAULT);
        KindRow row = new KindRow(
                "assay",
                /* weight= */ 1,
                Urgency.NORMAL,
                Limits.NONE,
                /* taskTimeout= */ Duration.ofSeconds(10),
                /* rowVersion= */ 1);
        machine.handleEvent(
                new EntryEvent.TableChanged(new Table(/* version= */ 1, Map.of("assay", row), /* teams= */ Map.of())),
                now);
        UpstreamDescription upstream = new UpstreamDescription(
                "upstream", Set.of("assay"), /* slots= */ WINDOW, /* connections= */ WINDOW, "worker", "rack", "zone");
        machine.handleEvent(new EntryEvent.SidecarChanged(SIDECAR, upstream, /* serving= */ true, window), now);
        return machine;
    }

    /** Submits a job, grants its claim and returns the commands that follow. */
    private List<EntryMachineCommand> submitAndGrantClaim(EntryMachine machine, int job, int tasks) {
        now = now.plusMillis(1);
        // New strings, since every request that an entry receives has strings of its own.
        SubmissionId id = new SubmissionId(
                new String("team-17".toCharArray()), String.format("11111111-2222-3333-4444-%012d", job));
        List<TaskSpec> specs = IntStream.range(0, tasks)
                .mapToObj(task -> new TaskSpec("task-" + task, Optional.empty(), new String("{}".toCharArray())))
                .toList();
        Submission submission = new Submission(
                id, "assay", Optional.empty(), Repeatability.AT_MOST_ONCE, now.plusSeconds(600), "digest", specs);
        long request =
                machine.handleEvent(new EntryEvent.SubmissionArrived(submission, /* waiter= */ job), now).stream()
                        .filter(EntryMachineCommand.RequestClaim.class::isInstance)
                        .map(EntryMachineCommand.RequestClaim.class::cast)
                        .findFirst()
                        .orElseThrow()
                        .request();
        return machine.handleEvent(
                new EntryEvent.ClaimSettled(id, new ClaimResult.Granted(/* fence= */ 1, request)), now);
    }

    private void complete(EntryMachine machine, EntryMachineCommand.Dispatch dispatch) {
        AttemptState completed = new AttemptState.Done(new TaskOutcome.Completed("{}", Duration.ofMillis(50)));
        machine.handleEvent(
                new EntryEvent.ReportsReceived(
                        SIDECAR, List.of(new AttemptReport(dispatch.attempt(), completed)), WINDOW),
                now);
    }

    private static void print(String what, long bytes) {
        System.out.println(EventLine.of("entry-memory").with("of", what).with("bytes", bytes));
    }

    private static long usedHeapBytes() {
        for (int collection = 0; collection < GARBAGE_COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
