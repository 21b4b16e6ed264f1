package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.caperturn.jobs.interference.FleetSlowdowns;
import io.caperturn.jobs.interference.InterferenceCost;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.UpstreamCrash;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.testkit.known.KnownFailures;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests on which instances tasks of confined queues and of all others may run. */
@ExtendWith(KnownFailures.class)
class QueueConfinementTest {
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);

    private final VirtualTime time = new VirtualTime();
    private final VirtualLoop loop = new VirtualLoop(time, "entry");
    private final SidecarDirectory directory = new SidecarDirectory(loop, (to, frame) -> {}, new ZoneEvacuations(loop));
    private final QueueConfinement confinement = directory.confinement();

    private void addSidecars(int count, List<String> labelsOfTheLast) {
        for (int number = 0; number < count; number++) {
            String node = "sidecar-" + number;
            directory.linkOpened(new JobFrame.Hello(ProcessRole.SIDECAR, node, node + "~1", /* zone= */ ""));
            tell(node, number == count - 1 ? labelsOfTheLast : List.of(), List.of());
        }
    }

    private final Map<String, List<UpstreamCrash>> crashesByNode = new HashMap<>();

    private void tell(String node, List<String> labels, List<UpstreamCrash> crashes) {
        tell(node, CAPACITY, labels, crashes);
    }

    /** Sends a status, which repeats the crashes that the sidecar told before, as statuses do for some seconds. */
    private void tell(String node, Resources free, List<String> labels, List<UpstreamCrash> newCrashes) {
        List<UpstreamCrash> crashes = crashesByNode.computeIfAbsent(node, key -> new ArrayList<>());
        crashes.addAll(newCrashes);
        JobFrame.Status status = new JobFrame.Status(
                /* usable= */ true,
                "service",
                CAPACITY,
                free,
                /* waitingWork= */ 0,
                /* runningTasks= */ 0,
                labels,
                /* dispatchesSeen= */ 0,
                JobFrame.Status.NO_RENEWAL,
                /* coldMilliseconds= */ 0,
                crashes,
                /* upstreamNumber= */ 1,
                /* awaitingDescription= */ false);
        directory.applyStatus(directory.find(node + "~1").orElseThrow(), status, /* renewStoredRuns= */ true);
    }

    private void crashTwiceUnder(String queue) {
        tell("sidecar-0", List.of(), List.of(new UpstreamCrash(1, 0, Map.of(queue, 1))));
        time.runUntil(time.now() + 500);
        tell("sidecar-1", List.of(), List.of(new UpstreamCrash(1, 0, Map.of(queue, 1))));
    }

    private static OwnedJob job(String queue, String requiredLabel) {
        return job(queue, requiredLabel, /* urgency= */ 0);
    }

    private static OwnedJob job(String queue, String requiredLabel, int urgency) {
        StepPlan step = new StepPlan(2, new Resources(1_600, 64, 0), 100, List.of(), requiredLabel, "", 0);
        QueuePolicy policy = new QueuePolicy(queue, "host", "/" + queue + "/", "service", urgency, 2, 1.6, 60);
        return new OwnedJob(queue, new JobPlan(queue, "payload", List.of(step), /* durable= */ false), policy, 0, 0, 0);
    }

    private Set<String> allowedNodes(OwnedJob job) {
        OwnedTask task = job.tasks().getFirst();
        return directory.views().stream()
                .filter(view -> !confinement.excludes(task, view))
                .map(SidecarView::node)
                .collect(Collectors.toSet());
    }

    @ParameterizedTest
    @CsvSource({"4, 1, 9, 2", "11, 1, 9, 2", "11, 1, 3, 4", "11, 9, 1, 5", "60, 1, 9, 8"})
    void confinedQueueGetsItsShareOfTheInstancesAndOthersTheRest(
            int sidecars, int confinedJobs, int otherJobs, int expected) {
        addSidecars(sidecars, List.of());
        OwnedJob confined = job("confined", "");
        OwnedJob other = job("other", "");
        for (int number = 0; number < confinedJobs; number++) {
            confinement.demand().record(confined.plan(), confined.policy());
        }
        for (int number = 0; number < otherJobs; number++) {
            confinement.demand().record(other.plan(), other.policy());
        }
        crashTwiceUnder("confined");

        Set<String> apart = allowedNodes(confined);
        Set<String> rest = allowedNodes(other);
        assertEquals(expected, apart.size());
        assertEquals(sidecars - expected, rest.size());
        assertEquals(sidecars, directory.views().size());
        rest.retainAll(apart);
        assertEquals(Set.of(), rest);
    }

    /** Guards against confinement in a service so small that nothing can be set apart. */
    @ParameterizedTest
    @CsvSource({"2", "3"})
    void fewInstancesAreNotDivided(int sidecars) {
        addSidecars(sidecars, List.of());
        crashTwiceUnder("confined");
        assertEquals(sidecars, allowedNodes(job("confined", "")).size());
        assertEquals(sidecars, allowedNodes(job("other", "")).size());
    }

    /** Guards against a task that waits without an end because only an instance on the other side can run it. */
    @Test
    void taskThatOnlyOneInstanceCanRunIsAllowedThere() {
        addSidecars(11, List.of("special"));
        crashTwiceUnder("confined");
        assertEquals(true, allowedNodes(job("confined", "special")).contains("sidecar-10"));
        assertEquals(true, allowedNodes(job("other", "special")).contains("sidecar-10"));
    }

    /** Selects an upstream for a task of a less urgent queue, while tasks of a more urgent one have just arrived. */
    private Selection selectWhileATenthIsFree(QueuePolicy moreUrgentQueue) {
        addSidecars(11, List.of());
        UpstreamSelector selector =
                new UpstreamSelector(new DurationModel(), new InterferenceCost(new FleetSlowdowns(loop)), confinement);
        OwnedTask other = job("other", "", /* urgency= */ 1).tasks().getFirst();
        crashTwiceUnder("confined");
        directory.views().forEach(view -> tell(view.node(), new Resources(1_600, 3_200, 0), List.of(), List.of()));
        selector.recordArrival(moreUrgentQueue, time.now());
        return selector.select(other, directory.views(), time.now());
    }

    /** Guards against room that is kept free for a queue which may not use it. */
    @Test
    void noCapacityIsReservedForAMoreUrgentConfinedQueue() {
        assertInstanceOf(
                Selection.Chosen.class,
                selectWhileATenthIsFree(job("confined", "").policy()));
    }

    /** Guards against a confinement of one queue that ends the reserve for another. */
    @Test
    void capacityStaysReservedForAMoreUrgentQueueBesideAConfinedOne() {
        assertEquals(
                WaitReason.CAPACITY_RESERVED.selection(),
                selectWhileATenthIsFree(job("urgent", "").policy()));
    }

    /** Guards against room that is kept free for a queue whose tasks need another service. */
    @Test
    void noCapacityIsReservedForAMoreUrgentQueueOfAnotherService() {
        QueuePolicy elsewhere = new QueuePolicy("elsewhere", "host", "/elsewhere/", "other-service", 0, 2, 1.6, 60);
        assertInstanceOf(Selection.Chosen.class, selectWhileATenthIsFree(elsewhere));
    }

    @Test
    void confinementEndsWithItsEvidence() {
        addSidecars(11, List.of());
        crashTwiceUnder("confined");
        time.runUntil(time.now() + 10_100);
        confinement.refresh(/* newCrash= */ false);
        assertEquals(11, allowedNodes(job("confined", "")).size());
    }
}
