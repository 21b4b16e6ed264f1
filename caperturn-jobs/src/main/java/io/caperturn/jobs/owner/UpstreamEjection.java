package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;

/** Ejection of upstreams on which tasks of several jobs have failed. */
final class UpstreamEjection {
    private final DecisionLoop loop;

    UpstreamEjection(DecisionLoop loop) {
        this.loop = loop;
    }

    /** Counts a failure of a task on an upstream, and ejects the upstream if it is one too many. */
    void countFailure(OwnedTask task, SidecarView view) {
        long now = loop.monotonicMilliseconds();
        view.setHealth(view.health().afterFailure(task.identity().job(), now));
        if (view.health().isEjected(now)) {
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
