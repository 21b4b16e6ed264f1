package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** All runs that a sidecar knows: those that wait, those that hold room, and the ends that are not yet forgotten. */
final class RunBook {
    private static final Comparator<LocalRun> BY_LATEST_START = Comparator.comparingLong(LocalRun::startBy)
            .thenComparing(run -> run.identity().toString());

    private final Map<RunIdentity, LocalRun> runs = new HashMap<>();
    private final List<LocalRun> queue = new ArrayList<>();
    private final TreeMap<Long, RunIdentity> ends = new TreeMap<>();
    private Resources used = Resources.NONE;
    private long waitingWork;
    private Resources waitingNeed = Resources.NONE;
    private long highestEnd;
    private long acknowledged;

    LocalRun find(RunIdentity identity) {
        return runs.get(identity);
    }

    Collection<LocalRun> all() {
        return runs.values();
    }

    List<LocalRun> queue() {
        return queue;
    }

    /** Tells whether another run of a task waits or holds room. */
    boolean hasOtherRun(RunIdentity identity) {
        TaskIdentity task = identity.task();
        return runs.values().stream()
                .anyMatch(run -> run.identity().task().equals(task)
                        && run.identity().number() != identity.number()
                        && !run.isIn(LocalRun.Phase.ENDED));
    }

    void enqueue(LocalRun run) {
        runs.put(run.identity(), run);
        run.enter(LocalRun.Phase.QUEUED);
        int place = 0;
        while (place < queue.size() && BY_LATEST_START.compare(queue.get(place), run) <= 0) {
            place++;
        }
        queue.add(place, run);
        waitingWork += run.work();
        waitingNeed = waitingNeed.plus(run.need());
    }

    void dequeue(LocalRun run) {
        if (queue.remove(run)) {
            waitingWork -= run.work();
            waitingNeed = waitingNeed.minus(run.need());
        }
    }

    void take(LocalRun run) {
        used = used.plus(run.need());
    }

    /** Adds a run that the upstream listed and that nobody here ordered. */
    LocalRun discover(RunIdentity identity, long now) {
        LocalRun run = new LocalRun(identity, now);
        run.enter(LocalRun.Phase.RUNNING);
        runs.put(identity, run);
        return run;
    }

    /** Gives a discovered run the room that its owner says it takes. */
    void describe(LocalRun run, JobFrame.Dispatch dispatch, long latestStart) {
        boolean holding = run.holdsRoom();
        if (holding) {
            used = used.minus(run.need());
        }
        run.describe(
                dispatch.payload(), dispatch.need(), dispatch.estimatedMilliseconds(), latestStart, dispatch.urgency());
        if (holding) {
            used = used.plus(run.need());
        }
    }

    void end(LocalRun run, RunOutcome outcome, String reason, long number, long now) {
        if (run.holdsRoom()) {
            used = used.minus(run.need());
        }
        dequeue(run);
        run.end(outcome, reason, number, now);
        if (number == 0) {
            runs.remove(run.identity());
        }
    }

    /** Gives back the room of a run that was not started after all. */
    void release(LocalRun run) {
        used = used.minus(run.need());
    }

    void forget(LocalRun run) {
        runs.remove(run.identity());
    }

    /** Notes an end that the upstream listed; gives false if it was listed before. */
    boolean noteEnd(long number, RunIdentity identity) {
        if (number <= highestEnd) {
            return false;
        }
        highestEnd = number;
        ends.put(number, identity);
        return true;
    }

    /** Forgets an end that is stored or counts for nothing. */
    void settle(LocalRun run) {
        if (run.isIn(LocalRun.Phase.ENDED)) {
            runs.remove(run.identity());
            ends.remove(run.endNumber());
        }
    }

    /**
     * Lets the upstream forget an end that is kept here for an owner that is out of touch: the upstream lists only so
     * many ends, and no later ones before these are forgotten. Gives false if that was done before.
     */
    boolean keepHere(LocalRun run) {
        return ends.remove(run.endNumber()) != null;
    }

    /** Gives the number up to which the upstream may forget its ends. */
    long acknowledgeable() {
        return ends.isEmpty() ? highestEnd : ends.firstKey() - 1;
    }

    long acknowledged() {
        return acknowledged;
    }

    void acknowledged(long number) {
        acknowledged = Math.max(acknowledged, number);
    }

    /** Begins anew with the numbers of another life of the upstream. */
    void restartNumbers() {
        ends.clear();
        highestEnd = 0;
        acknowledged = 0;
    }

    Resources used() {
        return used;
    }

    Resources waitingNeed() {
        return waitingNeed;
    }

    long waitingWork() {
        return waitingWork;
    }

    int holdingCount() {
        int count = 0;
        for (LocalRun run : runs.values()) {
            if (run.holdsRoom()) {
                count++;
            }
        }
        return count;
    }
}
