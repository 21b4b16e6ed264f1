package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests upstreams that start whatever they are told to, and whose capacity shrinks and grows while they run. All times
 * are virtual and in milliseconds.
 */
class ChangingCapacityTest {
    /** Processor need of a task of {@link SampleJobs}, in thousandths of a core. */
    private static final long TASK_PROCESSOR_MILLIS = 1_600;
    /** Time until a sidecar knows of a changed capacity: the interval of announcements. */
    private static final long ANNOUNCEMENT_MILLISECONDS = 500;

    private final List<String> startsOverCapacity = new ArrayList<>();

    private void watchCapacity(SimulatedFleet fleet, int upstream, long[] processorMillis) {
        fleet.recordOfStarts().setObserver((run, name) -> {
            SimulatedUpstream started = fleet.upstream(upstream);
            if (name.equals(started.identity())
                    && started.activeRunCount() * TASK_PROCESSOR_MILLIS > processorMillis[0]) {
                startsOverCapacity.add(run + " at " + fleet.time().now());
            }
        });
    }

    private static Resources capacity(long processorMillis) {
        return new Resources(processorMillis, 32_768, 0);
    }

    /** Guards against starts that bring a shrunk upstream over its capacity. */
    @ParameterizedTest
    @CsvSource({"8000, true", "8000, false", "1600, true", "0, true"})
    void noRunStartsOverAShrunkCapacity(long shrunkTo, boolean durable) {
        SimulatedFleet fleet = new SimulatedFleet(2, 2, task -> 300);
        long[] known = {SimulatedUpstream.CAPACITY.processorMillis()};
        watchCapacity(fleet, /* upstream= */ 0, known);
        for (int number = 0; number < 60; number++) {
            fleet.submit(number % 2, "job" + number, SampleJobs.plan(4, durable));
        }
        fleet.time().after(400, () -> fleet.upstream(0).setCapacity(capacity(shrunkTo)));
        fleet.time().after(400 + ANNOUNCEMENT_MILLISECONDS, () -> known[0] = shrunkTo);
        fleet.time().after(3_000, () -> {
            fleet.upstream(0).setCapacity(SimulatedUpstream.CAPACITY);
            known[0] = SimulatedUpstream.CAPACITY.processorMillis();
        });
        fleet.time().runUntil(30_000);

        assertEquals(List.of(), startsOverCapacity);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        for (int number = 0; durable && number < 60; number++) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job" + number));
        }
    }

    /** Guards against a run that stays queued at a sidecar whose upstream has become too small for it. */
    @Test
    void queuedRunThatNoLongerFitsRunsElsewhere() {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> task.job().startsWith("long") ? 3_000 : 300);
        fleet.submit(0, "long", plan(2, 15_000, 3_000));
        fleet.time().runUntil(fleet.time().now() + 100);
        // The task is refused at both sidecars, or waits at one of them, until capacity is free.
        fleet.submit(0, "wide", plan(1, 12_000, 300));
        fleet.time().after(200, () -> fleet.upstream(0).setCapacity(capacity(8_000)));
        fleet.time().runUntil(fleet.time().now() + 8_000);

        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "wide"));
    }

    /** Guards against starts beside runs whose needs a restarted sidecar does not know, because their owner is lost. */
    @ParameterizedTest
    @CsvSource({"100", "300", "600"})
    void noRunStartsBesideRunsOfUnknownNeed(long restartDelay) {
        SimulatedFleet fleet = new SimulatedFleet(2, 1, task -> 4_000);
        long[] known = {SimulatedUpstream.CAPACITY.processorMillis()};
        watchCapacity(fleet, /* upstream= */ 0, known);
        fleet.submit(0, "first", plan(8, TASK_PROCESSOR_MILLIS, 4_000));
        fleet.time().runUntil(fleet.time().now() + 500);
        fleet.kill("entry-0");
        fleet.kill("sidecar-0");
        fleet.time().after(restartDelay, () -> fleet.restart("sidecar-0"));
        fleet.time().after(restartDelay + 50, () -> fleet.submit(1, "second", plan(8, TASK_PROCESSOR_MILLIS, 4_000)));
        fleet.time().runUntil(fleet.time().now() + 40_000);

        assertEquals(List.of(), startsOverCapacity);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "first"));
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "second"));
    }

    private static JobPlan plan(int tasks, long processorMillis, long estimatedMilliseconds) {
        return new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(
                        tasks, new Resources(processorMillis, 64, 0), estimatedMilliseconds, List.of(), "", "", 0)),
                /* durable= */ true);
    }
}
