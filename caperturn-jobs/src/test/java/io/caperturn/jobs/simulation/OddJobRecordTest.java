package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordTransaction;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a record of another writer among the open jobs keeps no other job from being adopted and completed. */
class OddJobRecordTest {
    private static final int JOBS = 12;
    /** Name that comes before those of all other jobs. */
    private static final String NAME = "a-job";

    /** Record of another writer. */
    enum OddRecord {
        EMPTY(new byte[0]),
        NESTED("{".repeat(2_000).getBytes(StandardCharsets.UTF_8)),
        TRUNCATED(Arrays.copyOf(valid(), valid().length - 5)),
        WITHOUT_OWNER(Arrays.copyOfRange(valid(), 3, valid().length)),
        GENERATION_AT_ITS_LIMIT(withNumber(2, Integer.MAX_VALUE)),
        GENERATION_WHOSE_RUNS_OVERFLOW(withNumber(2, 3_000_000)),
        GENERATION_TOO_LARGE(withNumber(2, Long.MAX_VALUE)),
        GENERATION_NEGATIVE(withNumber(2, -1)),
        ACCEPTED_IN_THE_FUTURE(withNumber(5, Long.MAX_VALUE)),
        ACCEPTED_LONG_AGO(withNumber(5, Long.MIN_VALUE));

        private final byte[] value;

        OddRecord(byte[] value) {
            this.value = value;
        }
    }

    /** Returns a valid record whose first three bytes are the owner. */
    private static byte[] valid() {
        return new JobRecord("x", 1, SampleJobs.plan(1, /* durable= */ true), SampleJobs.QUEUE, 1, false, List.of())
                .toBytes();
    }

    /** Returns a record in which a number follows the earlier one of that field, and replaces it. */
    private static byte[] withNumber(int field, long number) {
        byte[] valid = valid();
        byte[] changed = Arrays.copyOf(valid, valid.length + 11);
        int length = valid.length;
        changed[length++] = (byte) (field << 3);
        long rest = number;
        do {
            long group = rest & 0x7f;
            rest >>>= 7;
            changed[length++] = (byte) (rest == 0 ? group : group | 0x80);
        } while (rest != 0);
        return Arrays.copyOf(changed, length);
    }

    @ParameterizedTest
    @EnumSource(OddRecord.class)
    void otherJobsOfALostEntryAreCompleted(OddRecord odd) {
        SimulatedFleet fleet = new SimulatedFleet(/* entryCount= */ 3, /* sidecars= */ 2, task -> 300);
        write(fleet, odd);
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "job-" + number, SampleJobs.plan(2, /* durable= */ true));
        }
        fleet.time().runUntil(fleet.time().now() + 100);
        fleet.kill("entry-0");
        fleet.time().runUntil(fleet.time().now() + 30_000);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        assertFalse(fleet.logLines().contains(" exception "), fleet::logLines);
        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(1, "job-" + number),
                    "job-" + number);
        }
    }

    private static void write(SimulatedFleet fleet, OddRecord odd) {
        RecordKey key = new RecordKey(JobWriter.OPEN_TABLE, JobWriter.partOf(NAME), NAME);
        fleet.store()
                .viewFor(fleet.loop("entry-2"))
                .transact(new RecordTransaction(Map.of(), Map.of(key, odd.value), List.of()), outcome -> {});
    }

    /** Guards against a job that is accepted although its stored record is unreadable, so that no entry can run it. */
    @ParameterizedTest
    @EnumSource(
            value = OddRecord.class,
            names = {"NESTED", "TRUNCATED"})
    void jobWithAnUnreadableRecordIsNotAccepted(OddRecord odd) {
        SimulatedFleet fleet = new SimulatedFleet(/* entryCount= */ 3, /* sidecars= */ 2, task -> 300);
        write(fleet, odd);
        fleet.time().runUntil(fleet.time().now() + 100);
        List<CallerAnswers.Submission> answers = fleet.submit(0, NAME, SampleJobs.plan(2, /* durable= */ true));
        fleet.time().runUntil(fleet.time().now() + 100);

        assertEquals(List.of(new CallerAnswers.Submission.Undecided("unreadable")), answers, fleet::logLines);
    }
}
