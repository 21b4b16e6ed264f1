package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;

/** Ejection of upstreams on which tasks of several jobs fail in a row: they get no tasks for a time, then a probe. */
final class UpstreamEjection {
    /** Consecutive failures, each of another job, after which an upstream is ejected. */
    private static final int EJECTION_FAILURES = 3;
    /** Time after which an ejected upstream gets a single task as a probe, in milliseconds. */
    private static final long EJECTION_MILLISECONDS = 2_000;

    private final DecisionLoop loop;

    UpstreamEjection(DecisionLoop loop) {
        this.loop = loop;
    }

    /** Counts a failure of a task on an upstream, and ejects the upstream if there have been several in a row. */
    void countFailure(OwnedTask task, SidecarView view) {
        if (view.recordFailure(task.identity().job()) >= EJECTION_FAILURES) {
            view.eject(loop.monotonicMilliseconds() + EJECTION_MILLISECONDS);
            loop.log()
                    .event(
                            EventName.EJECTED,
                            EventKey.NODE,
                            view.node(),
                            EventKey.JOB,
                            task.identity().job());
            loop.log().count("ejected");
        }
    }
}
