import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Record of what callers, executors and the platform have seen: a line for each event, with the time in milliseconds
 * since the start of the script, and the runs of tasks.
 */
final class RunLog implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final BufferedWriter writer;
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Integer> failures = new HashMap<>();

    RunLog(Path file) throws IOException {
        writer = Files.newBufferedWriter(file);
    }

    /** Run of a task on an executor; times are in milliseconds since the start of the script. */
    static final class Run {
        final String task;
        final long number;
        final String executor;
        final double startedAt;
        /** End of the run; {@link Double#MAX_VALUE} while it is active. */
        double endedAt = Double.MAX_VALUE;
        /** How it ended: a word of PROTOCOL.md, or {@code lost} if the executor ended with it. */
        String how = "";
        /** Whether the end is taken note of: {@code ackCursor} has reached it, and no lease has lapsed before that. */
        boolean noted;

        Run(String task, long number, String executor, double startedAt) {
            this.task = task;
            this.number = number;
            this.executor = executor;
            this.startedAt = startedAt;
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    synchronized void note(String text) {
        try {
            writer.write(String.format("%10.1f %s%n", now(), text));
            writer.flush();
        } catch (IOException e) {
            throw new IllegalStateException("the record cannot be written", e);
        }
    }

    synchronized Run start(String task, long number, String executor) {
        Run run = new Run(task, number, executor, now());
        runs.add(run);
        note("start " + task + " run " + number + " on " + executor);
        return run;
    }

    synchronized void end(Run run, String how) {
        end(run, how, now());
    }

    synchronized void end(Run run, String how, double endedAt) {
        run.endedAt = endedAt;
        run.how = how;
        if (how.equals("failed")) {
            failures.merge(run.task, 1, Integer::sum);
        }
        note("end " + run.task + " run " + run.number + " on " + run.executor + ": " + how);
    }

    /** Returns how many runs of a task have ended {@code failed}. */
    synchronized int failedRuns(String task) {
        return failures.getOrDefault(task, 0);
    }

    /** Returns the runs of all tasks, in the order of their starts. */
    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    @Override
    public synchronized void close() throws IOException {
        writer.close();
    }
}
