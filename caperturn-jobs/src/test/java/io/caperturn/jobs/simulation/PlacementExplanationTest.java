package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.owner.Candidacy;
import io.caperturn.jobs.owner.ExclusionReason;
import io.caperturn.jobs.owner.PlacementExplainer;
import io.caperturn.jobs.owner.PlacementExplanation;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the explanation of a placement agrees with what then becomes of the job, and that it changes nothing. All
 * jobs are transient (not stored), because those are placed at the moment at which they are submitted.
 */
class PlacementExplanationTest {
    private static final int SIDECARS = 4;
    /** Ten tasks of 1.6 cores run on each upstream at a time, and an average job has 4.5 tasks of 300 ms. */
    private static final double CAPACITY_JOBS_PER_SECOND = SIDECARS * 10 / 0.3 / 4.5;

    private static final int ARRIVAL_MILLISECONDS = 6_000;
    /** Duration of the load in which a pair of queues that slow each other down is learned. */
    private static final int LEARNING_MILLISECONDS = 40_000;

    private static final Pattern PLACED = Pattern.compile(".* placed run (\\S+)/0/(\\d+)/(\\d+)#\\d+ node (\\S+) .*");

    /** Condition of the fleet during the load. */
    enum Fault {
        NONE,
        SIDECAR_KILLED,
        UPSTREAM_FAILS,
        LINKS_CLOSED,
        /** Tasks of the second queue take twice as long beside those of the first, from the start on. */
        QUEUES_INTERFERE
    }

    /** Fleet of two entries under load, at the first of which some jobs are explained before they are submitted. */
    private static final class Scenario {
        private final SimulatedFleet fleet =
                new SimulatedFleet(2, SIDECARS, task -> 200 + new Random(task.hashCode()).nextInt(200));
        private final Callers callers = new Callers(fleet);
        private final boolean explaining;
        private int explained;
        private int explainedWithWait;
        private int explainedRefusals;
        private int explainedWithInterference;
        private final Map<String, String> queueByJob = new HashMap<>();

        Scenario(boolean explaining) {
            this.explaining = explaining;
        }

        void run(double load, Fault fault, long seed) {
            Random random = new Random(seed);
            int arrivalMilliseconds = fault == Fault.QUEUES_INTERFERE ? LEARNING_MILLISECONDS : ARRIVAL_MILLISECONDS;
            if (fault == Fault.QUEUES_INTERFERE) {
                for (int number = 0; number < SIDECARS; number++) {
                    fleet.upstream(number).setSlowdown(this::slowdown);
                }
            }
            long start = fleet.time().now();
            double nextArrival = start;
            while (fleet.time().now() < start + arrivalMilliseconds) {
                if (fleet.time().now() == start + arrivalMilliseconds / 3) {
                    cause(fault);
                }
                while (nextArrival <= fleet.time().now()) {
                    nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / (load * CAPACITY_JOBS_PER_SECOND);
                    arrive(random);
                }
                callers.advance();
            }
            callers.advance(5_000);
        }

        private double slowdown(TaskIdentity task, Collection<RunIdentity> active) {
            boolean slowed = "queue-1".equals(queueByJob.get(task.job()));
            return slowed
                            && active.stream()
                                    .anyMatch(run -> "queue-0"
                                            .equals(queueByJob.get(run.task().job())))
                    ? 2
                    : 1;
        }

        private void cause(Fault fault) {
            switch (fault) {
                case NONE, QUEUES_INTERFERE -> {}
                case SIDECAR_KILLED -> fleet.kill("sidecar-1");
                case UPSTREAM_FAILS -> fleet.upstream(1).setOutcomes(run -> RunOutcome.FAILED);
                case LINKS_CLOSED -> fleet.closeLinksBriefly("sidecar-1");
            }
        }

        private void arrive(Random random) {
            String job = "job-" + callers.allCallers().size();
            int entry = random.nextInt(2);
            QueuePolicy policy = new QueuePolicy(
                    "queue-" + random.nextInt(2), "host", "/q/", "service", random.nextInt(3), 2, 1.6, 60);
            JobPlan plan = new JobPlan(
                    policy.name(),
                    "payload",
                    List.of(
                            new StepPlan(
                                    1 + random.nextInt(6),
                                    new Resources(1_600, 64, 0),
                                    300,
                                    List.of(),
                                    "",
                                    "",
                                    random.nextInt(3)),
                            new StepPlan(1, new Resources(1_600, 64, 0), 300, List.of(0), "", "", 0)),
                    /* durable= */ false);
            queueByJob.put(job, policy.name());
            Optional<PlacementExplanation> explanation =
                    explaining && entry == 0 ? explain(fleet, plan, policy) : Optional.empty();
            Callers.Caller caller = callers.submit(entry, job, plan, policy);
            explanation.ifPresent(given -> checkAgreement(given, job, caller));
        }

        private void checkAgreement(PlacementExplanation explanation, String job, Callers.Caller caller) {
            explained++;
            if (explanation.refusal().isPresent()) {
                explainedRefusals++;
                assertEquals(List.of(explanation.refusal().get()), caller.answers());
                return;
            }
            assertTrue(caller.answers().isEmpty(), job);
            Map<String, String> predicted = new TreeMap<>();
            for (PlacementExplanation.Placement placement : explanation.placements()) {
                if (placement instanceof PlacementExplanation.Placement.Sent sent) {
                    predicted.put(sent.step() + "/" + sent.index(), sent.node());
                    explainedWithInterference += sent.cost().interferenceMilliseconds() > 0 ? 1 : 0;
                }
            }
            if (predicted.size() < explanation.readyTasks()) {
                explainedWithWait++;
            }
            assertEquals(explanation.readyTasks(), explanation.placements().size());
            assertEquals(predicted, placementsOf(job), () -> job + " " + explanation);
        }

        private Map<String, String> placementsOf(String job) {
            Map<String, String> nodes = new TreeMap<>();
            for (String line : fleet.loop("entry-0").logLines()) {
                Matcher matcher = PLACED.matcher(line);
                if (matcher.matches() && matcher.group(1).equals(job)) {
                    nodes.put(matcher.group(2) + "/" + matcher.group(3), matcher.group(4));
                }
            }
            return nodes;
        }

        /** Returns all log lines except those of explanations. */
        List<String> decisions() {
            return fleet.logLines()
                    .lines()
                    .filter(line -> !line.contains(" explained "))
                    .toList();
        }
    }

    private static Optional<PlacementExplanation> explain(SimulatedFleet fleet, JobPlan plan, QueuePolicy policy) {
        return switch (fleet.entry(0).placementExplainer().explain(plan, policy)) {
            case PlacementExplanation.Answer.Explained answer -> Optional.of(answer.explanation());
            case PlacementExplanation.Answer.TooSoon tooSoon -> Optional.empty();
        };
    }

    @ParameterizedTest
    @CsvSource({
        "0.5, NONE, 1",
        "0.95, NONE, 2",
        "3.0, NONE, 3",
        "0.9, SIDECAR_KILLED, 4",
        "0.9, UPSTREAM_FAILS, 5",
        "0.9, LINKS_CLOSED, 6",
        "2.0, UPSTREAM_FAILS, 7",
        "0.4, QUEUES_INTERFERE, 8"
    })
    void explanationAgreesWithWhatHappensAndChangesNothing(double load, Fault fault, long seed) {
        Scenario explaining = new Scenario(true);
        explaining.run(load, fault, seed);
        Scenario silent = new Scenario(false);
        silent.run(load, fault, seed);

        assertTrue(explaining.explained >= 10, () -> "explained " + explaining.explained);
        if (load >= 2) {
            assertTrue(explaining.explainedRefusals > 0, "no refusal was explained");
            assertTrue(explaining.explainedWithWait > 0, "no wait was explained");
        }
        if (fault == Fault.QUEUES_INTERFERE) {
            assertTrue(explaining.explainedWithInterference > 0, "no cost of interference was explained");
        }
        assertEquals(silent.decisions(), explaining.decisions());
        assertEquals(
                silent.fleet.traffic().frameCounts(), explaining.fleet.traffic().frameCounts());
    }

    @Test
    void candidatesTellFreeRoomCostAndExclusion() {
        SimulatedFleet fleet = new SimulatedFleet(1, 3, task -> 300);
        fleet.upstream(1).setDescription("service", List.of("label"));
        fleet.upstream(2).setDescription("other", List.of());
        fleet.time().runUntil(fleet.time().now() + 2_000);
        JobPlan plan = new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(2, new Resources(1_600, 64, 0), 300, List.of(), "label", "", 0)),
                /* durable= */ false);

        PlacementExplanation explanation =
                explain(fleet, plan, SampleJobs.QUEUE).orElseThrow();
        List<PlacementExplanation.Candidate> candidates = explanation.candidates();
        assertEquals(
                List.of("sidecar-1", "sidecar-0", "sidecar-2"),
                candidates.stream().map(PlacementExplanation.Candidate::node).toList());
        Candidacy.Possible possible =
                assertInstanceOf(Candidacy.Possible.class, candidates.getFirst().candidacy());
        assertEquals(300, possible.cost().total());
        assertEquals(16_000, candidates.getFirst().free().processorMillis());
        assertEquals(
                new Candidacy.Excluded(ExclusionReason.LABEL_MISSING),
                candidates.get(1).candidacy());
        assertEquals(
                new Candidacy.Excluded(ExclusionReason.WRONG_SERVICE),
                candidates.get(2).candidacy());
        assertEquals(
                List.of("sidecar-1", "sidecar-1"),
                explanation.placements().stream()
                        .map(placement -> ((PlacementExplanation.Placement.Sent) placement).node())
                        .toList());
    }

    @Test
    void secondExplanationHasToWait() {
        SimulatedFleet fleet = new SimulatedFleet(1, 1, task -> 300);
        JobPlan plan = SampleJobs.plan(1, false);
        assertTrue(explain(fleet, plan, SampleJobs.QUEUE).isPresent());
        fleet.time().runUntil(fleet.time().now() + 50);
        assertEquals(
                new PlacementExplanation.Answer.TooSoon(PlacementExplainer.INTERVAL_MILLISECONDS - 50),
                fleet.entry(0).placementExplainer().explain(plan, SampleJobs.QUEUE));
        fleet.time().runUntil(fleet.time().now() + PlacementExplainer.INTERVAL_MILLISECONDS);
        assertTrue(explain(fleet, plan, SampleJobs.QUEUE).isPresent());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8})
    void largeJobIsExplainedInPart(int sidecars) {
        SimulatedFleet fleet = new SimulatedFleet(1, sidecars, task -> 300);
        QueuePolicy patientQueue =
                new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, /* offset= */ 10_000_000);
        PlacementExplanation explanation = explain(
                        fleet, SampleJobs.plan(PlacementExplainer.MAX_TASKS, false), patientQueue)
                .orElseThrow();
        assertEquals(PlacementExplainer.MAX_TASKS, explanation.readyTasks());
        assertEquals(
                PlacementExplainer.MAX_TASKS / sidecars,
                explanation.placements().size());
        assertEquals(
                10L * sidecars,
                explanation.placements().stream()
                        .filter(PlacementExplanation.Placement.Sent.class::isInstance)
                        .count());
    }

    @ParameterizedTest
    @CsvSource({"1, 244, 2", "8, 86, 16"})
    void largeJobWithLimitedTasksPerUpstreamIsExplainedInPart(int sidecars, int explained, int sent) {
        SimulatedFleet fleet = new SimulatedFleet(1, sidecars, task -> 300);
        QueuePolicy patientQueue =
                new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, /* offset= */ 10_000_000);
        JobPlan plan = new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(
                        PlacementExplainer.MAX_TASKS,
                        new Resources(1_600, 64, 0),
                        300,
                        List.of(),
                        "",
                        "",
                        /* maximumPerUpstream= */ 2)),
                /* durable= */ false);
        PlacementExplanation explanation = explain(fleet, plan, patientQueue).orElseThrow();
        assertEquals(PlacementExplainer.MAX_TASKS, explanation.readyTasks());
        assertEquals(explained, explanation.placements().size());
        assertEquals(
                sent,
                explanation.placements().stream()
                        .filter(PlacementExplanation.Placement.Sent.class::isInstance)
                        .count());
    }

    @Test
    void stoppedEntryExplainsItsRefusal() {
        SimulatedFleet fleet = new SimulatedFleet(2, 1, task -> 300);
        fleet.entry(0).handOverJobs(() -> {});
        PlacementExplanation explanation =
                explain(fleet, SampleJobs.plan(1, false), SampleJobs.QUEUE).orElseThrow();
        assertEquals(
                Optional.of(new CallerAnswers.Submission.Refused("stopping", 1_000, /* overloaded= */ false)),
                explanation.refusal());
        assertEquals(List.of(), explanation.placements());
    }
}
