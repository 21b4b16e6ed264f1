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
 * Jobs of several steps, with labels, bounds on one upstream and two kinds of upstreams that start whatever they are
 * told to: what the upstreams see keeps to all that callers asked for, also under faults.
 */
class VariedJobsTest {
    private static final QueuePolicy ASSAY = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 5_000);
    private static final QueuePolicy SCAN = new QueuePolicy("scan", "host", "/s/", "scanner", 1, 3, 1.6, 5_000);
    private static final int UPSTREAMS = 6;
    private static final int JOBS = 12;
    /** Longest that all jobs take with any of the faults, in milliseconds. */
    private static final long LONGEST_MILLISECONDS = 40_000;

    private final SimulatedFleet fleet =
            new SimulatedFleet(2, UPSTREAMS, task -> 100 + 30L * task.index() + 50L * task.step());
    private final Map<String, JobPlan> plans = new HashMap<>();
    private final Map<String, QueuePolicy> policies = new HashMap<>();

    @ParameterizedTest
    @EnumSource(FleetFaultsTest.Strike.class)
    void whatCallersAskedForHolds(FleetFaultsTest.Strike strike) {
        for (int number = 0; number < UPSTREAMS; number++) {
            fleet.upstream(number)
                    .describeAs(number % 2 == 0 ? "service" : "scanner", List.of(number < 4 ? "a" : "b", "rack"));
        }
        fleet.time().runUntil(fleet.time().now() + 1_500);
        fleet.record().observe(this::check);

        Random random = new Random(strike.ordinal());
        for (int number = 0; number < JOBS; number++) {
            String job = "job-" + number;
            policies.put(job, number % 3 == 0 ? SCAN : ASSAY);
            plans.put(job, plan(policies.get(job).name(), random));
            fleet.submit(number % 2, job, plans.get(job), policies.get(job));
            fleet.time().runUntil(fleet.time().now() + 40);
        }
        strike.strike(fleet);
        fleet.time().runUntil(fleet.time().now() + LONGEST_MILLISECONDS);

        assertEquals(List.of(), fleet.record().breaches(), fleet::lines);
        for (String job : plans.keySet()) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, job), () -> job + fleet.lines());
        }
    }

    private static JobPlan plan(String queue, Random random) {
        StepPlan first = step(1 + random.nextInt(6), List.of(), random.nextBoolean() ? "a" : "", 0, random);
        StepPlan second = step(1 + random.nextInt(4), List.of(0), "", 1 + random.nextInt(2), random);
        StepPlan beside = step(2, List.of(), random.nextBoolean() ? "b" : "", 0, random);
        StepPlan last = step(1, List.of(1, 2), "", 0, random);
        return new JobPlan(queue, "payload", List.of(first, second, beside, last), true);
    }

    private static StepPlan step(int count, List<Integer> after, String label, int mostOnOne, Random random) {
        Resources need = new Resources(500L * (1 + random.nextInt(8)), 64, 0);
        return new StepPlan(count, need, 150, after, label, "", mostOnOne);
    }

    /** Looks at a start as the upstream sees it. */
    private void check(RunIdentity run, String where) {
        TaskIdentity task = run.task();
        StepPlan step = plans.get(task.job()).steps().get(task.step());
        SimulatedUpstream upstream = upstream(where);
        String service = policies.get(task.job()).service();
        expect(upstream.description().service().equals(service), run + " runs on another kind of upstream");
        expect(
                step.requiredLabel().isEmpty()
                        || upstream.description().labels().contains(step.requiredLabel()),
                run + " needs label " + step.requiredLabel());
        for (int earlier : step.after()) {
            for (int index = 0;
                    index < plans.get(task.job()).steps().get(earlier).count();
                    index++) {
                TaskIdentity before = new TaskIdentity(task.job(), task.occurrence(), earlier, index);
                expect(fleet.record().isDone(before), run + " starts before " + before + " is done");
            }
        }
        long used = upstream.running().stream().mapToLong(this::need).sum();
        expect(used <= SimulatedUpstream.CAPACITY.processorMillis(), where + " is given more than it has room for");
        long alike = upstream.running().stream()
                .filter(other ->
                        other.task().job().equals(task.job()) && other.task().step() == task.step())
                .count();
        expect(
                step.maximumPerUpstream() == 0 || alike <= step.maximumPerUpstream(),
                run + " is one too many at " + where);
    }

    private long need(RunIdentity run) {
        return plans.get(run.task().job()).steps().get(run.task().step()).need().processorMillis();
    }

    private void expect(boolean holds, String breach) {
        if (!holds) {
            fleet.record().breach(breach);
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
