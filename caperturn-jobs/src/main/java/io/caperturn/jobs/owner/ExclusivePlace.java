package io.caperturn.jobs.owner;

import java.util.Collection;

/**
 * Selection of the instance for a task that has to run alone, because upstreams crashed under it: one that all entries
 * choose, so that such tasks take one upstream at most, unless that one is away for long.
 */
final class ExclusivePlace {
    /** Time for which a task waits for the first choice to return, in milliseconds: most of a restart after a crash. */
    private static final long MAX_WAIT_MILLISECONDS = 2_000;

    private ExclusivePlace() {}

    /** Returns the name of the instance; empty if there is none. {@code now} is of the monotonic clock. */
    static String select(OwnedTask task, Collection<SidecarView> sidecars, long now) {
        String service = task.job().policy().service();
        boolean onlyUsable = now - task.waitingSince() > MAX_WAIT_MILLISECONDS;
        return sidecars.stream()
                .filter(view -> UpstreamSelector.fits(task.step(), service, view))
                .filter(view -> view.isUsable() || !onlyUsable)
                .map(SidecarView::node)
                .min(UpstreamRanking.of(service))
                .orElse("");
    }
}
