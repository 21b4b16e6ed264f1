package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Confinement of queues whose tasks crash upstreams. It answers a load in which many tasks of a queue each crash the
 * upstream that starts them: these queues get a few instances of the service, and all others the rest, so that the
 * crashes take no more room than the queues' own. All entries confine the same queues to the same instances, as far as
 * they know of the same crashes.
 */
final class QueueConfinement {
    /** Room of the confined queues as a multiple of their share of the demand. */
    private static final double ROOM_FACTOR = 1.2;
    /** Minimum number of instances for confined queues, so that one crash leaves another instance. */
    private static final int MIN_INSTANCES = 2;
    /** Minimum number of instances of a service of which some are set apart. */
    private static final int MIN_INSTANCES_OF_SERVICE = 2 * MIN_INSTANCES;
    /** Interval at which the instances are selected anew, in milliseconds. */
    private static final long SELECTION_INTERVAL_MILLISECONDS = 500;

    private final DecisionLoop loop;
    private final SidecarDirectory sidecars;
    private final CrashEvidence evidence;
    private final QueueDemand demand;
    private Map<String, ConfinedSet> setsByService = Map.of();
    /** Whether an upstream meets a demand, since the last selection. */
    private final Map<Demanded, Boolean> servedElsewhere = new HashMap<>();

    private long selectedAt;

    QueueConfinement(DecisionLoop loop, SidecarDirectory sidecars, CrashEvidence evidence, QueueDemand demand) {
        this.loop = loop;
        this.sidecars = sidecars;
        this.evidence = evidence;
        this.demand = demand;
    }

    /** Confined queues of a service, and the names of the instances that they share with no other queue. */
    private record ConfinedSet(Set<String> queues, Set<String> nodes) {}

    /** What a task demands of an upstream, and on which side of a confinement. */
    private record Demanded(String service, boolean confined, Resources resources, String label) {}

    QueueDemand demand() {
        return demand;
    }

    /** Selects queues and instances again after a new crash, and at an interval while queues are confined. */
    void refresh(boolean newCrash) {
        boolean selectionOld = loop.monotonicMilliseconds() - selectedAt >= SELECTION_INTERVAL_MILLISECONDS;
        boolean crashForgotten = evidence.forgetOld();
        if (newCrash || crashForgotten || !setsByService.isEmpty() && selectionOld) {
            selectedAt = loop.monotonicMilliseconds();
            servedElsewhere.clear();
            Map<String, ConfinedSet> selected = new HashMap<>();
            for (String service : evidence.services()) {
                Set<String> queues = evidence.suspectedQueues(service);
                Set<String> nodes = queues.isEmpty() ? Set.of() : selectNodes(service, queues);
                if (!nodes.isEmpty()) {
                    selected.put(service, new ConfinedSet(queues, nodes));
                }
            }
            logChanges(setsByService, selected);
            setsByService = Map.copyOf(selected);
        }
    }

    private Set<String> selectNodes(String service, Set<String> queues) {
        List<String> ranked = sidecars.views().stream()
                .filter(view -> view.status() != null && view.status().service().equals(service))
                .map(SidecarView::node)
                .distinct()
                .sorted(UpstreamRanking.of(service))
                .toList();
        if (ranked.size() < MIN_INSTANCES_OF_SERVICE) {
            return Set.of();
        }
        long wanted = (long) Math.ceil(ROOM_FACTOR * demand.share(service, queues) * ranked.size());
        return Set.copyOf(ranked.subList(0, Math.clamp(wanted, MIN_INSTANCES, ranked.size() / 2)));
    }

    private void logChanges(Map<String, ConfinedSet> before, Map<String, ConfinedSet> after) {
        Set<String> queuesBefore = queuesOf(before);
        Set<String> queuesAfter = queuesOf(after);
        after.forEach((service, set) -> set.queues().stream()
                .filter(queue -> !queuesBefore.contains(queue))
                .forEach(queue -> loop.log()
                        .event(
                                EventName.QUEUE_CONFINED,
                                EventKey.QUEUE,
                                queue,
                                EventKey.SERVICE,
                                service,
                                EventKey.NODES,
                                set.nodes().stream().sorted().toList())));
        queuesBefore.stream()
                .filter(queue -> !queuesAfter.contains(queue))
                .forEach(queue -> loop.log().event(EventName.QUEUE_RELEASED, EventKey.QUEUE, queue));
        loop.log().level("confined-queues", queuesAfter.size());
    }

    private static Set<String> queuesOf(Map<String, ConfinedSet> sets) {
        Set<String> queues = new HashSet<>();
        sets.values().forEach(set -> queues.addAll(set.queues()));
        return queues;
    }

    /** Returns whether a queue is confined. */
    boolean isConfined(QueuePolicy queue) {
        ConfinedSet set = setsByService.get(queue.service());
        return set != null && set.queues().contains(queue.name());
    }

    /** Returns whether the queue of a task is confined. */
    boolean isConfined(OwnedTask task) {
        return isConfined(task.job().policy());
    }

    /** Returns whether a task must not be sent to a sidecar; the task and the sidecar are of the same service. */
    boolean excludes(OwnedTask task, SidecarView sidecar) {
        ConfinedSet set = setsByService.get(task.job().policy().service());
        if (set == null) {
            return false;
        }
        boolean confined = set.queues().contains(task.job().policy().name());
        return confined != set.nodes().contains(sidecar.node()) && isServedElsewhere(task, confined, set);
    }

    /** Returns whether any upstream on the side of the task can run it. */
    private boolean isServedElsewhere(OwnedTask task, boolean confined, ConfinedSet set) {
        StepPlan step = task.step();
        String service = task.job().policy().service();
        Demanded demanded = new Demanded(service, confined, step.resourcesPerTask(), step.requiredLabel());
        return servedElsewhere.computeIfAbsent(
                demanded,
                key -> sidecars.views().stream()
                        .anyMatch(view -> confined == set.nodes().contains(view.node())
                                && UpstreamSelector.fits(step, service, view)));
    }
}
