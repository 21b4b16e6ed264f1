package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which state an entry (process that accepts jobs) shows of a job that another entry has closed, when its own
 * write meets that: it is read, not inferred. All times are virtual and in milliseconds.
 */
class ClosedElsewhereTest {
    private static final int ENTRIES = 3;
    private static final int JOBS = 6;
    private static final long SHORT_MILLISECONDS = 300;
    private static final long LONG_MILLISECONDS = 1_500;
    private static final Set<JobState> UNFINISHED = EnumSet.of(JobState.QUEUED, JobState.RUNNING);

    private final SimulatedFleet fleet = new SimulatedFleet(
            ENTRIES, /* sidecars= */ 3, task -> task.index() == 0 ? SHORT_MILLISECONDS : LONG_MILLISECONDS);

    private void advance(long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
    }

    /** Submits jobs of a short and a long task each at entry 0, and waits until just before the short ones end. */
    private void submitAll() {
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "job-" + number, SampleJobs.plan(2, /* durable= */ true, SHORT_MILLISECONDS));
        }
        advance(SHORT_MILLISECONDS + 20);
    }

    private void cutOffEntry() {
        fleet.isolate("entry-0");
        fleet.store().setRefused(fleet.loop("entry-0"), true);
    }

    private void healEntry() {
        fleet.reconnect("entry-0");
        fleet.store().setRefused(fleet.loop("entry-0"), false);
    }

    /** Returns the states that an entry shows of all jobs, asked at intervals of 20 ms for a time. */
    private Set<JobState> shownStates(int entry, long milliseconds) {
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        for (long asked = 0; asked < milliseconds; asked += 20) {
            for (int number = 0; number < JOBS; number++) {
                fleet.entry(entry).lookUpState("job-" + number, answers::add);
            }
            advance(20);
        }
        Set<JobState> states = EnumSet.noneOf(JobState.class);
        for (CallerAnswers.Lookup answer : answers) {
            if (answer instanceof CallerAnswers.Lookup.Found found) {
                states.add(found.state());
            }
        }
        return states;
    }

    private void assertShown(JobState finalState, int entry, long milliseconds) {
        Set<JobState> states = shownStates(entry, milliseconds);
        Set<JobState> allowed = EnumSet.copyOf(UNFINISHED);
        allowed.add(finalState);
        assertTrue(allowed.containsAll(states), () -> states + "\n" + fleet.logLines());
        assertTrue(states.contains(finalState), () -> states + "\n" + fleet.logLines());
    }

    /** Guards against completed jobs that are shown as cancelled, because their former owner was cut off meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {5_000, 5_100, 5_200, 5_300, 5_400, 5_500})
    void jobCompletedElsewhereIsNotShownAsCancelled(long cutMilliseconds) {
        submitAll();
        cutOffEntry();
        advance(cutMilliseconds);
        healEntry();
        assertShown(JobState.COMPLETED, 0, 2_000);
    }

    /** Guards against failed jobs that are shown as cancelled or completed. */
    @ParameterizedTest
    @ValueSource(longs = {7_000, 7_300})
    void jobFailedElsewhereIsShownAsFailed(long cutMilliseconds) {
        for (int number = 0; number < 3; number++) {
            fleet.upstream(number).setOutcomes(run -> run.task().index() == 0 ? RunOutcome.DONE : RunOutcome.FAILED);
        }
        submitAll();
        cutOffEntry();
        advance(cutMilliseconds);
        healEntry();
        assertShown(JobState.FAILED, 0, 2_000);
    }

    /**
     * Guards against an owner that shows the state that it had decided, though another entry stored a different one.
     */
    @ParameterizedTest
    @CsvSource({"100, 0", "100, 1", "1000, 0", "1000, 1"})
    void stateThatCouldNotBeStoredIsNotShown(long cancelMilliseconds, int askedEntry) {
        submitAll();
        advance(LONG_MILLISECONDS - SHORT_MILLISECONDS - 100); // the end of the short tasks is stored
        fleet.store().setWritesRefused(fleet.loop("entry-0"), true);
        advance(SHORT_MILLISECONDS + cancelMilliseconds);
        for (int number = 0; number < JOBS; number++) {
            assertTrue(fleet.recordOfStarts().hasSucceeded(new TaskIdentity("job-" + number, 0, 0, 1)));
            List<CallerAnswers.Lookup> answers = new ArrayList<>();
            fleet.entry(1).cancel("job-" + number, answers::add);
            advance(50);
            assertEquals(List.of(new CallerAnswers.Lookup.Found(JobState.CANCELLED)), answers);
        }
        fleet.store().setWritesRefused(fleet.loop("entry-0"), false);
        assertShown(JobState.CANCELLED, askedEntry, 2_000);
    }

    /** Guards against a caller who is told that a job is cancelled which another entry has completed. */
    @ParameterizedTest
    @ValueSource(longs = {5_000, 5_200, 5_400})
    void cancellationOfAJobCompletedElsewhereTellsItsState(long cutMilliseconds) {
        submitAll();
        cutOffEntry();
        advance(cutMilliseconds);
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            fleet.entry(0).cancel("job-" + number, answers::add);
        }
        healEntry();
        advance(3_000);

        for (CallerAnswers.Lookup answer : answers) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), answer, fleet::logLines);
        }
        assertShown(JobState.COMPLETED, 0, 100);
    }

    /** Guards against a final state that is lost, because the answer to the write that stored it was. */
    @Test
    void stateWhoseStoreAnswerWasLostIsShown() {
        submitAll();
        fleet.store().setFault(MemoryStore.Fault.ANSWERS_LOST);
        advance(LONG_MILLISECONDS);
        fleet.store().setFault(MemoryStore.Fault.NONE);
        advance(2_000);

        for (int entry = 0; entry < ENTRIES; entry++) {
            assertEquals(EnumSet.of(JobState.COMPLETED), shownStates(entry, 100), fleet::logLines);
        }
    }

    /** Guards against a job that is shown as queued to the caller who submits it again after it has finished. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void jobThatIsSubmittedAgainIsShownInItsState(int entry) {
        submitAll();
        advance(LONG_MILLISECONDS + 1_000);
        List<CallerAnswers.Submission> answers =
                fleet.submit(entry, "job-0", SampleJobs.plan(2, /* durable= */ true, SHORT_MILLISECONDS));
        advance(100);

        assertEquals(
                List.of(new CallerAnswers.Submission.Accepted(/* alreadySubmitted= */ true, JobState.COMPLETED)),
                answers,
                fleet::logLines);
    }
}
