package io.caperturn.jobs.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
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
                        new JobRecord.TaskProgress(2, true, 1, 3_001, 0, 0, 0),
                        new JobRecord.TaskProgress(5, false, 1, 9, 2, 8, 3)));

        assertEquals(stored, JobRecord.decode(stored.toBytes()));
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
