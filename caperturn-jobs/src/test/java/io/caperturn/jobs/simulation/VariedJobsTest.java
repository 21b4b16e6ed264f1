package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests jobs of several steps, with required labels, limits of tasks per upstream, and two kinds of upstreams
 * (services), also under faults.
 *
 * <p>The simulated upstreams start every run that is ordered; the test checks each start against the submitted job.
 */
class VariedJobsTest {
    // Urgency, maximum number of failed runs, factor and offset (ms) of the objective.
    private static final QueuePolicy SERVICE_QUEUE =
            new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 5_000);
    private static final QueuePolicy SCANNER_QUEUE =
            new QueuePolicy("scan", "host", "/s/", "scanner", 1, 3, 1.6, 5_000);
    private static final int UPSTREAMS = 6;
    private static final int JOBS = 12;
    /** Maximum time in which all jobs complete under any of the faults, in milliseconds. */
    private static final long MAX_COMPLETION_MILLISECONDS = 40_000;

    private final SimulatedFleet fleet =
            new SimulatedFleet(2, UPSTREAMS, task -> 100 + 30L * task.index() + 50L * task.step());
    private final Map<String, JobPlan> plans = new HashMap<>();
    private final Map<String, QueuePolicy> policies = new HashMap<>();

    @ParameterizedTest
    @EnumSource(FleetFaultsTest.FaultScenario.class)
    void jobsRunAsRequestedUnderFaults(FleetFaultsTest.FaultScenario scenario) {
        for (int number = 0; number < UPSTREAMS; number++) {
            fleet.upstream(number)
                    .setDescription(number % 2 == 0 ? "service" : "scanner", List.of(number < 4 ? "a" : "b", "rack"));
        }
        fleet.time().runUntil(fleet.time().now() + 1_500);
        fleet.recordOfStarts().setObserver(this::checkStart);

        Random random = new Random(scenario.ordinal());
        for (int number = 0; number < JOBS; number++) {
            String job = "job-" + number;
            policies.put(job, number % 3 == 0 ? SCANNER_QUEUE : SERVICE_QUEUE);
            plans.put(job, plan(policies.get(job).name(), random));
            fleet.submit(number % 2, job, plans.get(job), policies.get(job));
            fleet.time().runUntil(fleet.time().now() + 40);
        }
        scenario.inject(fleet);
        fleet.time().runUntil(fleet.time().now() + MAX_COMPLETION_MILLISECONDS);

        assertEquals(List.of(), fleet.recordOfStarts().violations(), fleet::logLines);
        for (String job : plans.keySet()) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(1, job),
                    () -> job + fleet.logLines());
        }
    }

    /** Returns a job of four steps: the second depends on the first, and the last one on the second and third. */
    private static JobPlan plan(String queue, Random random) {
        StepPlan first = step(
                1 + random.nextInt(6), List.of(), random.nextBoolean() ? "a" : "", /* limitPerUpstream= */ 0, random);
        StepPlan second = step(1 + random.nextInt(4), List.of(0), "", 1 + random.nextInt(2), random);
        StepPlan parallel = step(2, List.of(), random.nextBoolean() ? "b" : "", 0, random);
        StepPlan last = step(1, List.of(1, 2), "", 0, random);
        return new JobPlan(queue, "payload", List.of(first, second, parallel, last), /* durable= */ true);
    }

    private static StepPlan step(
            int taskCount, List<Integer> prerequisiteSteps, String requiredLabel, int limitPerUpstream, Random random) {
        Resources resourcesPerTask = new Resources(500L * (1 + random.nextInt(8)), 64, 0);
        return new StepPlan(taskCount, resourcesPerTask, 150, prerequisiteSteps, requiredLabel, "", limitPerUpstream);
    }

    /** Adds a violation if a start does not meet the requirements of its job or exceeds the limits of the upstream. */
    private void checkStart(RunIdentity run, String upstreamIdentity) {
        TaskIdentity task = run.task();
        StepPlan step = plans.get(task.job()).steps().get(task.step());
        SimulatedUpstream upstream = upstream(upstreamIdentity);
        String service = policies.get(task.job()).service();
        addViolationUnless(
                upstream.description().service().equals(service), run + " runs on an upstream of another service");
        addViolationUnless(
                step.requiredLabel().isEmpty()
                        || upstream.description().labels().contains(step.requiredLabel()),
                run + " needs label " + step.requiredLabel());
        for (int dependency : step.prerequisiteSteps()) {
            for (int index = 0;
                    index < plans.get(task.job()).steps().get(dependency).taskCount();
                    index++) {
                TaskIdentity dependencyTask = new TaskIdentity(task.job(), task.repetition(), dependency, index);
                addViolationUnless(
                        fleet.recordOfStarts().hasSucceeded(dependencyTask),
                        run + " starts before " + dependencyTask + " is done");
            }
        }
        long used = upstream.activeRuns().stream()
                .mapToLong(this::requiredMillicores)
                .sum();
        addViolationUnless(
                used <= SimulatedUpstream.CAPACITY.processorMillis(),
                upstreamIdentity + " runs more than its capacity allows");
        long runsOfSameStep = upstream.activeRuns().stream()
                .filter(other ->
                        other.task().job().equals(task.job()) && other.task().step() == task.step())
                .count();
        addViolationUnless(
                step.maximumPerUpstream() == 0 || runsOfSameStep <= step.maximumPerUpstream(),
                run + " exceeds the limit of its step at " + upstreamIdentity);
    }

    /** Returns the processor capacity that a run needs, in thousandths of a core. */
    private long requiredMillicores(RunIdentity run) {
        return plans.get(run.task().job())
                .steps()
                .get(run.task().step())
                .resourcesPerTask()
                .processorMillis();
    }

    private void addViolationUnless(boolean conditionHolds, String violation) {
        if (!conditionHolds) {
            fleet.recordOfStarts().addViolation(violation);
        }
    }

    private SimulatedUpstream upstream(String identity) {
        for (int number = 0; number < UPSTREAMS; number++) {
            if (fleet.upstream(number).identity().equals(identity)) {
                return fleet.upstream(number);
            }
        }
        throw new IllegalArgumentException("no upstream " + identity);
    }
}
