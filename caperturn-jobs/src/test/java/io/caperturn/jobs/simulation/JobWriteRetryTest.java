package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoreRetryBudget;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that writes of jobs press a busy store less and less, and are all made once it serves again. */
class JobWriteRetryTest {
    private static final int JOBS = 16;
    private static final long TASK_MILLISECONDS = 400;
    /** Time for which the store of an entry without a fleet fails, in milliseconds. */
    private static final long BUSY_MILLISECONDS = 4_000;
    /** Of each part: four growing delays, then one of 200 ms on average; half as many again for chance. */
    private static final long MAXIMUM_ATTEMPTS = JobWriter.PARTS * (4 + BUSY_MILLISECONDS / 200) * 3 / 2;

    private static final JobRecord RECORD = new JobRecord(
            "entry",
            0,
            SampleJobs.plan(/* tasks= */ 1, /* durable= */ true),
            SampleJobs.QUEUE,
            /* acceptedMilliseconds= */ 0,
            /* started= */ false,
            List.of());

    @ParameterizedTest
    @ValueSource(longs = {2_000, 6_000})
    void busyStoreIsPressedLessAndLess(long busyMilliseconds) {
        SimulatedFleet fleet = new SimulatedFleet(2, 4, task -> TASK_MILLISECONDS);
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(number % 2, "job-" + number, SampleJobs.plan(/* tasks= */ 2, /* durable= */ true));
        }
        fleet.time().runUntil(fleet.time().now() + TASK_MILLISECONDS / 2);
        fleet.store().setFault(MemoryStore.Fault.BUSY);
        int writesBefore = fleet.store().callCount("write");
        fleet.time().runUntil(fleet.time().now() + busyMilliseconds);
        int writes = fleet.store().callCount("write") - writesBefore;
        // Each part of each entry: four growing delays, then one of 200 ms on average; half as many again for chance.
        long bound = 2 * JobWriter.PARTS * (4 + busyMilliseconds / 200) * 3 / 2;
        assertTrue(writes <= bound, () -> writes + " writes");
        fleet.store().setFault(MemoryStore.Fault.NONE);
        fleet.time().runUntil(fleet.time().now() + 2_500);
        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job-" + number), "" + number);
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** A caller whose new job is refused by the store hears of it in time to ask another entry. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8})
    void newJobIsRefusedInTime(int jobs) {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> TASK_MILLISECONDS);
        fleet.store().setFault(MemoryStore.Fault.BUSY);
        List<List<CallerAnswers.Submission>> answers = new ArrayList<>();
        for (int number = 0; number < jobs; number++) {
            answers.add(fleet.submit(0, "job-" + number, SampleJobs.plan(/* tasks= */ 1, /* durable= */ true)));
        }
        fleet.time().runUntil(fleet.time().now() + 160);
        answers.forEach(answer -> assertEquals(1, answer.size()));
    }

    /**
     * Writes that keep arriving must not be sent before the delay of a retry ends, nor wait longer for their answers.
     */
    @ParameterizedTest
    @ValueSource(longs = {10, 100})
    void arrivingWritesKeepToTheDelay(long intervalMilliseconds) {
        VirtualTime time = new VirtualTime();
        VirtualLoop loop = new VirtualLoop(time, "entry");
        MemoryStore store = new MemoryStore(time);
        store.setFault(MemoryStore.Fault.BUSY);
        JobWriter writer = new JobWriter(store.viewFor(loop), loop, new StoreRetryBudget(loop, "entry"));
        List<Long> waits = new ArrayList<>();
        int jobs = 0;
        while (time.now() < BUSY_MILLISECONDS) {
            long insertedAt = time.now();
            writer.insert("job-" + jobs++, RECORD, result -> {
                assertInstanceOf(JobWriter.Result.Refused.class, result);
                waits.add(time.now() - insertedAt);
            });
            time.runUntil(time.now() + intervalMilliseconds);
        }
        int writes = store.callCount("write");
        time.runUntil(time.now() + 500);
        assertEquals(jobs, waits.size());
        assertTrue(waits.stream().allMatch(wait -> wait <= 160), waits::toString);
        assertTrue(writes <= MAXIMUM_ATTEMPTS, () -> writes + " writes");
    }

    /** Guards against an unexpected exception that keeps the outcome from the other writes of the transaction. */
    @ParameterizedTest
    @EnumSource(
            value = MemoryStore.Fault.class,
            names = {"NONE", "BUSY", "ANSWERS_LOST"})
    void everyWriteHasOneOutcomeAlthoughAReceiverFails(MemoryStore.Fault fault) {
        VirtualTime time = new VirtualTime();
        VirtualLoop loop = new VirtualLoop(time, "entry");
        MemoryStore store = new MemoryStore(time);
        store.setFault(fault);
        time.after(BUSY_MILLISECONDS, () -> store.setFault(MemoryStore.Fault.NONE));
        JobWriter writer = new JobWriter(store.viewFor(loop), loop, new StoreRetryBudget(loop, "entry"));
        List<Integer> outcomes = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            int job = number;
            writer.insert("job-" + job, RECORD, result -> {
                outcomes.add(job);
                if (job % 2 == 0) {
                    throw new IllegalStateException("receiver of " + job);
                }
            });
        }
        List<IllegalStateException> failures = new ArrayList<>();
        while (time.now() < 2 * BUSY_MILLISECONDS) {
            try {
                time.runUntil(2 * BUSY_MILLISECONDS);
            } catch (IllegalStateException e) { // A process logs it, and goes on.
                failures.add(e);
            }
        }
        assertEquals(
                JOBS / 2,
                failures.stream()
                        .mapToInt(failure -> 1 + failure.getSuppressed().length)
                        .sum());
        assertEquals(
                IntStream.range(0, JOBS).boxed().toList(),
                outcomes.stream().sorted().toList());
    }

    /** A store that closes each connection after the request is pressed less and less too, and no write is lost. */
    @Test
    void closedConnectionsAreRetriedWithDelay() {
        VirtualTime time = new VirtualTime();
        VirtualLoop loop = new VirtualLoop(time, "entry");
        MemoryStore store = new MemoryStore(time);
        RecordStore served = store.viewFor(loop);
        int[] attempts = {0};
        RecordStore closing = new RecordStore() {
            @Override
            public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {
                if (time.now() >= BUSY_MILLISECONDS) {
                    served.transact(transaction, receiver);
                } else {
                    attempts[0]++;
                    loop.after(1, () -> receiver.accept(new WriteOutcome.Unconfirmed("connection closed")));
                }
            }

            @Override
            public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {}

            @Override
            public void follow(
                    String table, long afterVersion, long waitMilliseconds, Consumer<FollowOutcome> receiver) {}
        };
        JobWriter writer = new JobWriter(closing, loop, new StoreRetryBudget(loop, "entry"));
        List<JobWriter.Result> results = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            writer.insert("job-" + number, RECORD, results::add);
        }
        time.runUntil(BUSY_MILLISECONDS + 500);
        assertTrue(attempts[0] <= MAXIMUM_ATTEMPTS, () -> attempts[0] + " attempts");
        // Of each part the writes of the first attempt are stored in the end; the others were refused in time.
        long stored = results.stream()
                .filter(JobWriter.Result.Stored.class::isInstance)
                .count();
        assertEquals(store.rowCount(JobWriter.OPEN_TABLE), stored);
        assertTrue(stored >= JobWriter.PARTS, () -> stored + " stored");
        assertEquals(JOBS, results.size());
    }
}
