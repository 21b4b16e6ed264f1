package io.caperturn.jobs.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.StepPlan;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the stored form of unfinished and finished jobs; the values of the records are arbitrary. */
class JobRecordTest {
    @Test
    void decodesEncodedJobRecord() throws IOException {
        StepPlan first = new StepPlan(4, new Resources(500, 256, 0), 900, List.of(), "a", "r1-3", 2);
        StepPlan second = new StepPlan(20, new Resources(2_000, 1_024, 1), 7_000, List.of(0), "", "", 0);
        JobRecord stored = new JobRecord(
                "entry~1",
                3,
                new JobPlan("queue", "payload", List.of(first, second), true),
                new QueuePolicy("queue", "", "", "assay", 2, 3, 1.625, 400),
                1_700_000_000_000L,
                true,
                List.of(
                        new TaskProgress(2, true, List.of()),
                        new TaskProgress(
                                5,
                                false,
                                List.of(
                                        new TaskProgress.RunRange(3, 2, RunFate.LOST_UNCONFIRMED),
                                        new TaskProgress.RunRange(7, 1, RunFate.CRASH_EXPLAINED),
                                        new TaskProgress.RunRange(8, 1, RunFate.CRASH_RETRACTED),
                                        new TaskProgress.RunRange(3_001, 1, RunFate.FAILED)))));

        assertEquals(stored, JobRecord.decode(stored.toBytes()));
    }

    /** Guards against lost counts if a build that stores each run takes a job over from one that stores counts. */
    @Test
    void readsTheProgressThatOlderBuildsStored() throws IOException {
        FieldWriter writer = new FieldWriter()
                .writeLong(1, 5)
                .writeLong(3, 2)
                .writeLong(4, 1_009)
                .writeLong(5, 1)
                .writeLong(6, 1_005)
                .writeLong(7, 1);
        TaskProgress progress = TaskProgress.read(new FieldReader(writer.toBytes()));
        assertEquals(
                List.of(
                        new TaskProgress.RunRange(1_008, 2, RunFate.FAILED),
                        new TaskProgress.RunRange(1_005, 1, RunFate.CRASHED),
                        new TaskProgress.RunRange(1_004, 1, RunFate.LOST_UNCONFIRMED)),
                progress.runs());
    }

    /** Guards against a record of a few bytes that takes all memory when it is read. */
    @ParameterizedTest
    @ValueSource(ints = {100_001, Integer.MAX_VALUE - 1})
    void rejectsRecordWithTooManyRuns(int runs) {
        JobRecord stored = new JobRecord(
                "entry~1",
                0,
                new JobPlan(
                        "queue",
                        "payload",
                        List.of(new StepPlan(1, Resources.NONE, 900, List.of(), "", "", 0)),
                        /* durable= */ true),
                new QueuePolicy("queue", "", "", "assay", 2, 3, 1.625, 400),
                1_700_000_000_000L,
                true,
                List.of(new TaskProgress(0, false, List.of(new TaskProgress.RunRange(1, runs, RunFate.FAILED)))));
        assertThrows(IOException.class, () -> JobRecord.decode(stored.toBytes()));
    }

    @ParameterizedTest
    @EnumSource(JobState.class)
    void decodesEncodedClosedRecord(JobState state) throws IOException {
        ClosedRecord stored = new ClosedRecord(state, 5);
        assertEquals(stored, ClosedRecord.of(stored.toBytes()));
    }

    @Test
    void rejectsRecordWithoutSteps() {
        assertThrows(IOException.class, () -> JobRecord.decode(new byte[0]));
    }

    @ParameterizedTest
    @ValueSource(strings = {"not a record", "\u0001\u0002\u0003"})
    void rejectsInvalidBytes(String text) {
        assertThrows(IOException.class, () -> JobRecord.decode(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }
}
