package io.caperturn.jobs.owner;

import java.util.Collection;
import java.util.Comparator;

/**
 * Selection of the instance for a task that has to run alone, because upstreams crashed under it: the same at all
 * entries, so that such tasks empty one upstream at a time.
 */
final class ExclusivePlace {
    private ExclusivePlace() {}

    /** Returns the name of the instance; empty if there is none. */
    static String select(OwnedTask task, Collection<SidecarView> sidecars, QueueConfinement confinement) {
        String service = task.job().policy().service();
        return sidecars.stream()
                .filter(view -> view.isUsable() && UpstreamSelector.fits(task.step(), service, view))
                // Other tasks than those of confined queues may use the instances that are set apart.
                .filter(view -> !confinement.isConfined(task) || !confinement.excludes(task, view))
                // An idle upstream need not be emptied first.
                .min(Comparator.comparing((SidecarView view) -> !isIdle(view))
                        .thenComparing(SidecarView::node, UpstreamRanking.of(service)))
                .map(SidecarView::node)
                .orElse("");
    }

    private static boolean isIdle(SidecarView view) {
        return view.freeResources().covers(view.status().capacity());
    }
}
