package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests tasks that wait for what no upstream offers, beside tasks that ask for something else; all times are virtual
 * and in milliseconds.
 */
class UnplaceableTasksTest {
    private static final Resources NEED = new Resources(1_600, 64, 0);
    private static final Resources LARGE_NEED = new Resources(20_000, 64, 0);
    private static final Resources LARGE_CAPACITY = new Resources(32_000, 32_768, 0);
    private static final int SIDECARS = 4;
    /** Number of the upstream that alone offers what the tasks of the unplaceable jobs ask for. */
    private static final int SPECIAL = SIDECARS - 1;

    private static final int JOBS = 4;
    private static final int TASKS = 8;
    private static final long LONG_TASK_MILLISECONDS = 30_000;

    /** Objective of 1.6 times the estimate plus 60 ms, after which the tasks of a job are soon late. */
    private static final QueuePolicy SHORT_QUEUE = queue("short", "service", 60);
    /** Objective of 1.6 times the estimate plus a minute: its tasks stand behind those that are overdue. */
    private static final QueuePolicy LONG_QUEUE = queue("long", "service", 60_000);
    /** Queue of a service of its own. */
    private static final QueuePolicy OTHER_SERVICE_QUEUE = queue("other", "other-service", 60);

    /** The last task of a step takes long. */
    private final SimulatedFleet fleet =
            new SimulatedFleet(1, SIDECARS, task -> task.job().startsWith("limited") ? LONG_TASK_MILLISECONDS : 200);

    private static QueuePolicy queue(String name, String service, long objectiveOffsetMilliseconds) {
        return new QueuePolicy(name, "host", "/" + name + "/", service, 0, 2, 1.6, objectiveOffsetMilliseconds);
    }

    /** What the tasks of the unplaceable jobs ask for. */
    private enum Demand {
        /** A label that only the lost upstream has. */
        LABEL,
        /** More resources than any upstream but the lost one has. */
        RESOURCES,
        /** A service that only the lost upstream belongs to. */
        SERVICE,
        /** Another upstream than those on which a task of the same step runs. */
        STEP_LIMIT
    }

    private static StepPlan step(int tasks, Resources need, List<Integer> prerequisites, String label, int limit) {
        return new StepPlan(tasks, need, 200, prerequisites, label, "", limit);
    }

    private void submitUnplaceable(Demand demand, int number) {
        String name = (demand == Demand.STEP_LIMIT ? "limited" : "unplaceable") + number;
        List<StepPlan> steps = switch (demand) {
            case LABEL -> List.of(step(1, NEED, List.of(), "", 0), step(TASKS, NEED, List.of(0), "special", 0));
            case RESOURCES -> List.of(step(1, NEED, List.of(), "", 0), step(TASKS, LARGE_NEED, List.of(0), "", 0));
            case SERVICE -> List.of(step(1, NEED, List.of(), "", 0), step(TASKS, NEED, List.of(0), "", 0));
            case STEP_LIMIT -> List.of(step(SIDECARS + TASKS, NEED, List.of(), "", 1));
        };
        fleet.submit(
                0,
                name,
                new JobPlan("queue", "payload", steps, /* durable= */ true),
                demand == Demand.SERVICE ? OTHER_SERVICE_QUEUE : SHORT_QUEUE);
    }

    private void submitOthers() {
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "other" + number, SampleJobs.plan(2, /* durable= */ true, 200), LONG_QUEUE);
        }
    }

    private void advance(long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
    }

    private void offerSpecially(Demand demand) {
        switch (demand) {
            case LABEL -> fleet.upstream(SPECIAL).setDescription("service", List.of("special", "rack"));
            case RESOURCES -> fleet.upstream(SPECIAL).setCapacity(LARGE_CAPACITY);
            case SERVICE -> fleet.upstream(SPECIAL).setDescription("other-service", List.of("a", "rack"));
            case STEP_LIMIT -> {}
        }
        fleet.upstream(SPECIAL).restart();
        advance(1_500);
    }

    /**
     * Guards against tasks that never start beside idle upstreams because those before them ask for what is not there.
     */
    @ParameterizedTest
    @EnumSource(Demand.class)
    void tasksBehindUnplaceableOnesStart(Demand demand) {
        offerSpecially(demand);
        for (int number = 0; number < JOBS; number++) {
            submitUnplaceable(demand, number);
            if (number == 0) {
                advance(100);
                fleet.upstream(SPECIAL).crash(/* downtimeMilliseconds= */ 120_000);
            }
            advance(500);
        }
        advance(4_000);
        submitOthers();
        advance(1_000);

        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(0, "other" + number),
                    fleet::logLines);
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against callers that are refused beside idle upstreams for work that these upstreams can't take. */
    @ParameterizedTest
    @EnumSource(
            value = Demand.class,
            names = {"LABEL", "RESOURCES", "SERVICE"})
    void jobsAreNotRefusedForTasksThatCannotCompeteWithThem(Demand demand) {
        offerSpecially(demand);
        for (int number = 0; number < JOBS; number++) {
            submitUnplaceable(demand, number);
        }
        advance(100);
        fleet.upstream(SPECIAL).crash(/* downtimeMilliseconds= */ 120_000);
        for (int number = 0; number < 60; number++) {
            advance(100);
            List<CallerAnswers.Submission> answers =
                    fleet.submit(0, "later" + number, SampleJobs.plan(2, /* durable= */ true, 200), SHORT_QUEUE);
            advance(10);
            assertEquals(
                    List.of(new CallerAnswers.Submission.Accepted(false, JobState.QUEUED)), answers, fleet::logLines);
        }
    }
}
