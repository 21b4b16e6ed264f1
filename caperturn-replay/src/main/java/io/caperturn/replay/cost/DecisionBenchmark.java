package io.caperturn.replay.cost;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
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
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Measures the processor time and memory of an entry process's decisions. In a loop, a task completes and the next is
 * placed. A job is a submission of 1,800 tasks.
 */
public final class DecisionBenchmark {
    private static final int TASKS_PER_JOB = 1_800;

    /** Number of attempts that an entry may have outstanding at each sidecar process. */
    private static final int ATTEMPTS_PER_SIDECAR = 4;

    private static final int SLOTS_PER_UPSTREAM = 8;
    private static final int KIND_COUNT = 4;

    /** Number of jobs that are submitted to measure the memory of their tasks. */
    private static final int MEMORY_MEASUREMENT_JOBS = 100;

    /** Time by which the clock of the entry advances with each event. */
    private static final Duration EVENT_INTERVAL = Duration.ofNanos(100_000);

    private static final int EVENTS_PER_TICK = 500;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final EntryMachine machine =
            new EntryMachine(new FairScheduler(SchedulerPolicy.DEFAULT), EntryPolicy.DEFAULT);
    private final Deque<OutstandingDispatch> outstanding = new ArrayDeque<>();
    private Instant now = Instant.EPOCH;
    private int nextJob;
    private long starts;

    private DecisionBenchmark() {}

    /**
     * Measured rate of decisions.
     *
     * @param upstreams the number of upstreams that the entry knew
     * @param startsPerSecond the number of task starts that one thread decided in a second
     */
    public record Speed(int upstreams, double startsPerSecond) {}

    /**
     * Measures how many task starts one thread decides in a second.
     *
     * @param upstreams the number of upstreams that the entry knows
     * @param warmUp the time to run before the measurement
     * @param measured the length of the measurement
     * @return the result
     */
    public static Speed measureSpeed(int upstreams, Duration warmUp, Duration measured) {
        DecisionBenchmark benchmark = new DecisionBenchmark();
        benchmark.addUpstreamsAndTasks(upstreams);
        benchmark.runFor(warmUp);
        long startsBefore = benchmark.starts;
        long elapsedNanoseconds = benchmark.runFor(measured);
        return new Speed(upstreams, (benchmark.starts - startsBefore) * NANOSECONDS_PER_SECOND / elapsedNanoseconds);
    }

    /**
     * Measures the heap memory of a waiting task in an entry, with a payload of two bytes.
     *
     * @return the number of bytes for each task
     */
    public static double measureBytesPerTask() {
        DecisionBenchmark benchmark = new DecisionBenchmark();
        benchmark.setTable();
        long heapBytesBefore = usedHeapBytes();
        for (int job = 0; job < MEMORY_MEASUREMENT_JOBS; job++) {
            benchmark.submitJob();
        }
        long heapBytesAfter = usedHeapBytes();
        int queuedTasks = benchmark.machine.openSubmissionCount() * TASKS_PER_JOB;
        return (double) (heapBytesAfter - heapBytesBefore) / queuedTasks;
    }

    /**
     * Prints the measurements.
     *
     * @param arguments the numbers of upstreams to measure with; if empty 100, 1,000 and 4,000
     */
    public static void main(String[] arguments) {
        List<Integer> sizes = new ArrayList<>(List.of(100, 1_000, 4_000));
        if (arguments.length > 0) {
            sizes.clear();
            for (String argument : arguments) {
                sizes.add(Integer.valueOf(argument));
            }
        }
        for (int upstreams : sizes) {
            Speed speed = measureSpeed(upstreams, Duration.ofSeconds(5), Duration.ofSeconds(5));
            System.out.printf(
                    Locale.ROOT, "upstreams=%d startsPerSecond=%.0f%n", speed.upstreams(), speed.startsPerSecond());
        }
        System.out.printf(Locale.ROOT, "bytesPerQueuedTask=%.0f%n", measureBytesPerTask());
    }

    private void addUpstreamsAndTasks(int upstreams) {
        setTable();
        for (int upstream = 0; upstream < upstreams; upstream++) {
            UpstreamDescription description = new UpstreamDescription(
                    "executor-" + upstream, kinds(), SLOTS_PER_UPSTREAM, 64, "worker", "rack", "zone");
            ProcessId sidecar = new ProcessId("sidecar-" + upstream, 1);
            handleEvent(new EntryEvent.SidecarChanged(sidecar, description, true, ATTEMPTS_PER_SIDECAR));
        }
        while (outstanding.size() < upstreams * ATTEMPTS_PER_SIDECAR) {
            submitJob();
        }
    }

    private void setTable() {
        Map<String, KindRow> rows = new HashMap<>();
        for (String kind : kinds()) {
            rows.put(kind, new KindRow(kind, 1, Urgency.NORMAL, Limits.NONE, Duration.ofSeconds(30), 1));
        }
        handleEvent(new EntryEvent.TableChanged(new Table(1, rows, Map.of())));
    }

    private static Set<String> kinds() {
        List<String> kinds = new ArrayList<>();
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            kinds.add("kind-" + kind);
        }
        return Set.copyOf(kinds);
    }

    /** Completes and starts tasks for a time; returns the elapsed time in nanoseconds. */
    private long runFor(Duration duration) {
        long startedAtNanoseconds = System.nanoTime();
        long elapsedNanoseconds = 0;
        while (elapsedNanoseconds < duration.toNanos()) {
            for (int event = 0; event < EVENTS_PER_TICK; event++) {
                completeOldestTask();
            }
            handleEvent(new EntryEvent.Tick());
            elapsedNanoseconds = System.nanoTime() - startedAtNanoseconds;
        }
        return elapsedNanoseconds;
    }

    private void completeOldestTask() {
        OutstandingDispatch oldest = outstanding.poll();
        Duration serviceTime =
                Duration.ofMillis(50 + Math.floorMod(oldest.sidecar().hashCode(), 20));
        AttemptReport report = new AttemptReport(
                oldest.dispatch().attempt(), new AttemptState.Done(new TaskOutcome.Completed("{}", serviceTime)));
        handleEvent(new EntryEvent.ReportsReceived(oldest.sidecar(), List.of(report), ATTEMPTS_PER_SIDECAR));
        // Keeps about one job of each kind of task waiting, so that there is always a task to place.
        if (starts / TASKS_PER_JOB + KIND_COUNT > nextJob) {
            submitJob();
        }
    }

    private void submitJob() {
        List<TaskSpec> tasks = new ArrayList<>(TASKS_PER_JOB);
        for (int task = 0; task < TASKS_PER_JOB; task++) {
            tasks.add(new TaskSpec("task-" + task, Optional.of(Duration.ofMillis(100)), "{}"));
        }
        SubmissionId id = new SubmissionId("team-" + nextJob % 20, "job-" + nextJob);
        Submission submission = new Submission(
                id,
                "kind-" + nextJob % KIND_COUNT,
                Optional.empty(),
                Repeatability.AT_MOST_ONCE,
                now.plus(Duration.ofHours(1)),
                "digest",
                tasks);
        nextJob++;
        handleEvent(new EntryEvent.SubmissionArrived(submission, nextJob));
    }

    private void handleEvent(EntryEvent event) {
        now = now.plus(EVENT_INTERVAL);
        for (EntryMachineCommand command : machine.handleEvent(event, now)) {
            switch (command) {
                case EntryMachineCommand.RequestClaim request ->
                    handleEvent(new EntryEvent.ClaimSettled(
                            request.submission().id(), new ClaimResult.Granted(1, request.request())));
                case EntryMachineCommand.SendDispatches send -> {
                    send.dispatches()
                            .forEach(dispatch -> outstanding.add(new OutstandingDispatch(send.sidecar(), dispatch)));
                    starts += send.dispatches().size();
                }
                default -> {}
            }
        }
    }

    private static long usedHeapBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Dispatch whose completion has not been reported yet.
     *
     * @param sidecar the sidecar that the task was dispatched to
     * @param dispatch the dispatch
     */
    private record OutstandingDispatch(ProcessId sidecar, EntryMachineCommand.Dispatch dispatch) {}
}
