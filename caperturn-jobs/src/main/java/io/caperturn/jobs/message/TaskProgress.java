package io.caperturn.jobs.message;

import io.caperturn.jobs.model.RunFate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Stored progress of one task.
 *
 * <p>Older builds stored how many runs had failed or crashed, and the number of the last one only. These fields are
 * still written for them, and read from their records.
 *
 * @param taskNumber number of the task, counted across all steps of its job
 * @param succeeded whether it succeeded
 * @param runs its runs whose ends count, in ascending order of their numbers; empty if it succeeded
 */
public record TaskProgress(int taskNumber, boolean succeeded, List<RunRange> runs) {
    /** Copies the list. */
    public TaskProgress {
        runs = List.copyOf(runs);
    }

    /**
     * Runs with successive numbers and the same fate.
     *
     * @param first number of the first run, at least 1
     * @param count number of runs, at least 1
     * @param fate what became of each of them
     */
    public record RunRange(int first, int count, RunFate fate) {
        /**
         * Checks the values.
         *
         * @throws IllegalArgumentException if a number is too small, or the number of the last run exceeds 32 bits
         */
        public RunRange {
            Objects.requireNonNull(fate, "fate");
            if (first < 1 || count < 1 || first > Integer.MAX_VALUE - count) {
                throw new IllegalArgumentException(count + " runs from number " + first + " are out of range");
            }
        }

        /**
         * Returns the number of the last run.
         *
         * @return the number
         */
        public int last() {
            return first + count - 1;
        }
    }

    /**
     * Returns the number of runs of a fate.
     *
     * @param fate the fate
     * @return the number of runs
     */
    public int count(RunFate fate) {
        return runs.stream()
                .filter(range -> range.fate() == fate)
                .mapToInt(RunRange::count)
                .sum();
    }

    /** Returns whether the progress holds this fate of a run, or one that takes precedence over it. */
    boolean includes(int run, RunFate fate) {
        return runs.stream()
                .filter(range -> range.first() <= run && run <= range.last())
                .anyMatch(range -> range.fate().merge(fate) == range.fate());
    }

    private int lastRun(RunFate... fates) {
        return runs.stream()
                .filter(range -> List.of(fates).contains(range.fate()))
                .mapToInt(RunRange::last)
                .max()
                .orElse(0);
    }

    void write(FieldWriter writer) {
        writer.writeLong(1, taskNumber)
                .writeBoolean(2, succeeded)
                .writeLong(3, count(RunFate.FAILED))
                .writeLong(4, lastRun(RunFate.FAILED))
                .writeLong(5, count(RunFate.CRASHED))
                .writeLong(6, lastRun(RunFate.CRASHED, RunFate.CRASH_EXPLAINED, RunFate.LOST_UNCONFIRMED))
                .writeLong(7, count(RunFate.LOST_UNCONFIRMED));
        runs.forEach(range -> writer.writeMessage(
                8,
                nested -> nested.writeLong(1, range.first())
                        .writeLong(2, range.count())
                        .writeLong(3, range.fate().ordinal())));
    }

    static TaskProgress read(FieldReader reader) throws IOException {
        int taskNumber = 0;
        boolean succeeded = false;
        int failedRuns = 0;
        int lastFailedRun = 0;
        int crashedRuns = 0;
        int lastCrashedRun = 0;
        int unconfirmedCrashes = 0;
        List<RunRange> runs = new ArrayList<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> taskNumber = reader.readInt();
                case 2 -> succeeded = reader.readBoolean();
                case 3 -> failedRuns = reader.readInt();
                case 4 -> lastFailedRun = reader.readInt();
                case 5 -> crashedRuns = reader.readInt();
                case 6 -> lastCrashedRun = reader.readInt();
                case 7 -> unconfirmedCrashes = reader.readInt();
                case 8 -> runs.add(readRange(reader.readMessage()));
                default -> reader.skip();
            }
        }
        if (runs.isEmpty()) {
            addLatestRuns(runs, lastFailedRun, failedRuns, RunFate.FAILED);
            addLatestRuns(runs, lastCrashedRun, crashedRuns, RunFate.CRASHED);
            addLatestRuns(runs, lastCrashedRun - crashedRuns, unconfirmedCrashes, RunFate.LOST_UNCONFIRMED);
        }
        return new TaskProgress(taskNumber, succeeded, runs);
    }

    private static RunRange readRange(FieldReader reader) throws IOException {
        int first = 0;
        int count = 0;
        int fate = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> first = reader.readInt();
                case 2 -> count = reader.readInt();
                case 3 -> fate = reader.readInt();
                default -> reader.skip();
            }
        }
        try {
            return new RunRange(first, count, RunFate.of(fate));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid progress in the record of a job: " + e.getMessage(), e);
        }
    }

    /** Adds the runs of which an older build stored only the number of the last one: they are taken for successive. */
    private static void addLatestRuns(List<RunRange> runs, int last, int count, RunFate fate) {
        int known = Math.min(count, last);
        if (known > 0 && last < Integer.MAX_VALUE) {
            runs.add(new RunRange(last - known + 1, known, fate));
        }
    }
}
