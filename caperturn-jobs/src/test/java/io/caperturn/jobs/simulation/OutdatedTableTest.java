package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests entries (processes that accept jobs) of which another one has an outdated table of processes: it lacks their
 * present incarnation (start). All times are virtual and in milliseconds.
 */
class OutdatedTableTest {
    private static final int SIDECARS = 4;
    private static final int JOBS = 16;
    private static final long TASK_MILLISECONDS = 3_000;

    /**
     * Guards against a fence, at all sidecars, of a living entry: a scan for jobs without an owner found its jobs, and
     * its incarnation was missing in the table of the entry that made the scan. The restart of a third entry asks for
     * the scan.
     */
    @ParameterizedTest
    @CsvSource({"300, 1000", "300, 2500", "800, 1500", "800, 4000", "1200, 2500"})
    void livingEntryIsNotFencedByAnEntryWithAnOutdatedTable(long restartMilliseconds, long silenceMilliseconds) {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, task -> TASK_MILLISECONDS);
        restart(fleet, "entry-2");
        fleet.time().runUntil(fleet.time().now() + restartMilliseconds);
        fleet.store().setFollowSilent(fleet.loop("entry-1"), true);
        fleet.time().after(silenceMilliseconds, () -> fleet.store().setFollowSilent(fleet.loop("entry-1"), false));
        restart(fleet, "entry-0");
        List<String> jobs = submitUntilAccepted(fleet, "job-");
        fleet.time().runUntil(fleet.time().now() + 25_000);

        List<String> adopted = fleet.logLines()
                .lines()
                .filter(line -> line.contains(" adopted "))
                .toList();
        assertEquals(List.of(), adopted, fleet::logLines);
        assertCompleted(fleet, jobs);
        assertEquals(List.of(), fleet.recordOfStarts().violations(), fleet::logLines);
    }

    /** Submits jobs to entry 0 until enough of them are accepted: an entry refuses them before it is registered. */
    private static List<String> submitUntilAccepted(SimulatedFleet fleet, String prefix) {
        List<String> accepted = new ArrayList<>();
        for (int number = 0; accepted.size() < JOBS && number < 400; number++) {
            String job = prefix + number;
            List<CallerAnswers.Submission> answers =
                    fleet.submit(0, job, SampleJobs.plan(1, /* durable= */ true, TASK_MILLISECONDS));
            fleet.time().runUntil(fleet.time().now() + 20);
            if (answers.contains(
                    new CallerAnswers.Submission.Accepted(/* alreadySubmitted= */ false, JobState.QUEUED))) {
                accepted.add(job);
            }
        }
        assertEquals(JOBS, accepted.size(), fleet::logLines);
        return accepted;
    }

    private static void restart(SimulatedFleet fleet, String node) {
        fleet.kill(node);
        fleet.time().runUntil(fleet.time().now() + 100);
        fleet.restart(node);
    }

    private static void assertCompleted(SimulatedFleet fleet, List<String> jobs) {
        for (String job : jobs) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, job), fleet::logLines);
        }
    }

    /**
     * Guards against a fence that never ends: a sidecar that accepts nothing more from a living entry ignored what that
     * sent, and the entry waited for ever. The fence comes from a peer of an older build, which fences what it does not
     * know.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, SIDECARS})
    void fencedEntryIsToldSoAndItsJobsCompleteUnderAnotherIncarnation(int fencingSidecars) {
        SimulatedFleet fleet = new SimulatedFleet(3, SIDECARS, task -> TASK_MILLISECONDS);
        List<String> jobs = new ArrayList<>(submitUntilAccepted(fleet, "job-"));
        for (int number = 0; number < fencingSidecars; number++) {
            // The first incarnations are numbered in the order in which the processes start.
            fleet.sidecar(number).handleFrame("entry-1~2", new JobFrame.FenceOwner("entry-0~1"));
        }
        fleet.time().runUntil(fleet.time().now() + 2_000);
        jobs.addAll(submitUntilAccepted(fleet, "later-"));
        fleet.time().runUntil(fleet.time().now() + 25_000);

        assertCompleted(fleet, jobs);
        assertEquals(List.of(), fleet.recordOfStarts().violations(), fleet::logLines);
    }
}
