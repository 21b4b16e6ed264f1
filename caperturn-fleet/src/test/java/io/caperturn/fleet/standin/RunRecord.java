package io.caperturn.fleet.standin;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Record of the runs of all executors, which tells whether a task ran twice at the same time.
 *
 * <p>A run lasts from its start at an executor until that executor has ended it. The times of all executors come from
 * the clock of one virtual machine.
 */
final class RunRecord {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final long originNanoseconds = System.nanoTime();
    private final Map<String, List<Run>> runsByTask = new HashMap<>();

    /** Run of a task at an executor; its end is empty until the executor has ended it. */
    private static final class Run {
        private final String executor;
        private final long number;
        private final long startNanoseconds;
        private long endNanoseconds = Long.MAX_VALUE;
        private String outcome = "";

        Run(String executor, long number, long startNanoseconds) {
            this.executor = executor;
            this.number = number;
            this.startNanoseconds = startNanoseconds;
        }
    }

    /**
     * Two runs of a task at the same time.
     *
     * @param job the job of the task
     * @param description the runs with their executors and times
     */
    record Overlap(String job, String description) {}

    /** Records that a run starts. */
    synchronized void start(String task, String executor, long number) {
        runsByTask.computeIfAbsent(task, key -> new ArrayList<>()).add(new Run(executor, number, System.nanoTime()));
    }

    /** Records that an executor has ended a run, at a time of {@link System#nanoTime}. */
    synchronized void end(String task, String executor, long number, String outcome, long endNanoseconds) {
        for (Run run : runsByTask.getOrDefault(task, List.of())) {
            if (run.executor.equals(executor) && run.number == number && run.outcome.isEmpty()) {
                run.endNanoseconds = endNanoseconds;
                run.outcome = outcome;
            }
        }
    }

    /** Returns the number of runs. */
    synchronized int runCount() {
        return runsByTask.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the number of tasks that had more than one run. */
    synchronized long repeatedTaskCount() {
        return runsByTask.values().stream().filter(runs -> runs.size() > 1).count();
    }

    /** Returns the number of runs that have not ended. */
    synchronized long unfinishedRunCount() {
        return runsByTask.values().stream()
                .flatMap(List::stream)
                .filter(run -> run.outcome.isEmpty())
                .count();
    }

    /** Returns each pair of runs of one task that were at work at the same time. */
    synchronized List<Overlap> overlaps() {
        List<Overlap> overlaps = new ArrayList<>();
        runsByTask.forEach((task, runs) -> {
            for (int later = 1; later < runs.size(); later++) {
                for (int earlier = 0; earlier < later; earlier++) {
                    if (runs.get(later).startNanoseconds < runs.get(earlier).endNanoseconds) {
                        overlaps.add(new Overlap(
                                task.substring(0, task.indexOf('.')),
                                task + ": " + describe(runs.get(earlier)) + "; " + describe(runs.get(later))
                                        + "; together "
                                        + seconds(originNanoseconds
                                                + overlapNanoseconds(runs.get(earlier), runs.get(later)))
                                        + " s"));
                    }
                }
            }
        });
        return overlaps;
    }

    private static long overlapNanoseconds(Run earlier, Run later) {
        return Math.min(System.nanoTime(), Math.min(earlier.endNanoseconds, later.endNanoseconds))
                - later.startNanoseconds;
    }

    private String describe(Run run) {
        String end = run.outcome.isEmpty() ? "not ended" : seconds(run.endNanoseconds) + " s " + run.outcome;
        return "run " + run.number + " on " + run.executor + " from " + seconds(run.startNanoseconds) + " to " + end;
    }

    /** Returns the present time on the clock of this record and that of the logs, as text. */
    String now() {
        return seconds(System.nanoTime()) + " s, " + Instant.now();
    }

    private String seconds(long nanoseconds) {
        return String.format(Locale.ROOT, "%.3f", (nanoseconds - originNanoseconds) / NANOSECONDS_PER_SECOND);
    }
}
