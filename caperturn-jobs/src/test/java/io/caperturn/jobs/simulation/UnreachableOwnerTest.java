package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ends of an owner that is out of touch for long, without being declared lost, while others' tasks go on. */
class UnreachableOwnerTest {
    private static final long TASK_MILLISECONDS = 60;
    private static final int SECONDS = 9;
    /** Longest time that a job of two short tasks may take on upstreams that are half busy. */
    private static final long LONGEST_MILLISECONDS = 500;

    /** One upstream does up to 166 tasks a second, so it has listed all that it may within some seconds. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void othersTasksRunOnceAndOn(int upstreams) {
        SimulatedFleet fleet = new SimulatedFleet(2, upstreams, task -> TASK_MILLISECONDS);
        for (int number = 0; number < 10; number++) {
            fleet.submit(0, "cut-" + number, SimulatedFleet.plan(upstreams, false, TASK_MILLISECONDS));
        }
        fleet.time().runUntil(fleet.time().now() + TASK_MILLISECONDS / 2);
        fleet.store().fault(MemoryStore.Fault.SILENT);
        fleet.cut("entry-0");

        List<List<CallerAnswers.Submission>> answers = new ArrayList<>();
        for (int number = 0; number < 40 * SECONDS; number++) {
            answers.add(fleet.submit(1, "job-" + number, SimulatedFleet.plan(2 * upstreams, false, TASK_MILLISECONDS)));
            fleet.time().runUntil(fleet.time().now() + 25);
        }
        fleet.time().runUntil(fleet.time().now() + LONGEST_MILLISECONDS);

        for (int number = 0; number < answers.size(); number++) {
            assertEquals(
                    List.of(new CallerAnswers.Submission.Finished(JobState.COMPLETED)), answers.get(number), "job " + number);
        }
        assertEquals(List.of(), fleet.record().breaches());
    }
}
