package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.TaskProgress.RunRange;
import io.caperturn.jobs.model.RunFate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Runs of a task whose ends count under it, by their numbers. Each run counts once, whatever the order in which reports
 * on it arrive and however often they do: sidecars report again over each new link, and to each new owner of the job.
 *
 * @param fates what became of each run
 */
record RunHistory(SortedMap<Integer, RunFate> fates) {
    /** History of a task none of whose runs has ended. */
    static final RunHistory EMPTY = new RunHistory(new TreeMap<>());

    /** Copies the map. */
    RunHistory {
        fates = Collections.unmodifiableSortedMap(new TreeMap<>(fates));
    }

    /** Returns the history in a stored progress. */
    static RunHistory of(List<RunRange> ranges) {
        TreeMap<Integer, RunFate> fates = new TreeMap<>();
        for (RunRange range : ranges) {
            for (int run = range.first(); run <= range.last(); run++) {
                fates.merge(run, range.fate(), RunFate::merge);
            }
        }
        return new RunHistory(fates);
    }

    /** Returns this history in the stored form. */
    List<RunRange> toRanges() {
        List<RunRange> ranges = new ArrayList<>();
        fates.forEach((run, fate) -> {
            RunRange last = ranges.isEmpty() ? null : ranges.getLast();
            if (last != null && last.fate() == fate && last.last() == run - 1) {
                ranges.set(ranges.size() - 1, new RunRange(last.first(), last.count() + 1, fate));
            } else {
                ranges.add(new RunRange(run, 1, fate));
            }
        });
        return ranges;
    }

    /** Returns the history with what a report tells of a run; this one if that is known or superseded already. */
    RunHistory with(int run, RunFate fate) {
        RunFate known = fates.get(run);
        if (known != null && known.merge(fate) == known) {
            return this;
        }
        TreeMap<Integer, RunFate> changed = new TreeMap<>(fates);
        changed.put(run, fate);
        return new RunHistory(changed);
    }

    boolean isEmpty() {
        return fates.isEmpty();
    }

    /** Returns the highest number of a run that has ended; 0 if there is none. */
    int highestRunNumber() {
        return fates.isEmpty() ? 0 : fates.lastKey();
    }

    /** Returns the number of failed runs. */
    int failures() {
        return count(RunFate.FAILED);
    }

    /**
     * Returns the number of runs under which the upstream crashed; of those that another task explains, one does not
     * count.
     */
    int crashes() {
        return count(RunFate.CRASHED) + Math.max(0, count(RunFate.CRASH_EXPLAINED) - 1);
    }

    /** Returns the number of runs that were lost in a crash, but are not known to have been active then. */
    int unconfirmedCrashes() {
        return count(RunFate.LOST_UNCONFIRMED);
    }

    /** Returns whether the upstream is known to have crashed under a run, whatever explains that. */
    boolean isCrashKnown(int run) {
        return hasCrashed(run) || fates.get(run) == RunFate.CRASH_EXPLAINED;
    }

    /** Returns whether the upstream crashed under a run, and no other task explains that. */
    boolean hasCrashed(int run) {
        return fates.get(run) == RunFate.CRASHED;
    }

    private int count(RunFate fate) {
        return Collections.frequency(fates.values(), fate);
    }
}
