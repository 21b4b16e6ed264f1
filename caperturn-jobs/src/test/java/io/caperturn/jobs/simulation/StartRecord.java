package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The upstreams' own record of all starts: it tells what was done twice, whatever the programs believe.
 *
 * <p>A success counts for good once it is acknowledged, unless the upstream's lease ran out before that: then nobody
 * could know of it in time. No task may start after a success that counts, and no two runs of one at the same time.
 */
final class StartRecord {
    private final Map<TaskIdentity, RunIdentity> running = new HashMap<>();
    private final Map<TaskIdentity, Long> lastStart = new HashMap<>();
    private final Set<TaskIdentity> done = new HashSet<>();
    private final Set<TaskIdentity> counting = new HashSet<>();
    private final List<String> breaches = new ArrayList<>();
    private Observer observer = (run, where) -> {};
    private int starts;

    /** Looks at each start, before it counts. */
    interface Observer {
        /** A run starts at an upstream. */
        void starts(RunIdentity run, String where);
    }

    void observe(Observer all) {
        observer = all;
    }

    boolean isDone(TaskIdentity task) {
        return done.contains(task);
    }

    void breach(String what) {
        breaches.add(what);
    }

    void started(RunIdentity run, String where, long now) {
        starts++;
        observer.starts(run, where);
        lastStart.put(run.task(), now);
        RunIdentity other = running.put(run.task(), run);
        if (other != null) {
            breaches.add(run + " started at " + where + " while " + other + " ran");
        }
        if (counting.contains(run.task())) {
            breaches.add(run + " started at " + where + " after its task was done");
        }
    }

    void ended(RunIdentity run) {
        running.remove(run.task(), run);
    }

    void done(RunIdentity run) {
        done.add(run.task());
    }

    /** Takes the acknowledgement of a success whose upstream held its lease all the while. */
    void acknowledged(RunIdentity run, long endedAt) {
        counting.add(run.task());
        if (lastStart.getOrDefault(run.task(), 0L) > endedAt) {
            breaches.add(run + " was acknowledged as done after its task had started again");
        }
    }

    int starts() {
        return starts;
    }

    int doneCount() {
        return done.size();
    }

    List<String> breaches() {
        return breaches;
    }
}
