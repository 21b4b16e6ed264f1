package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what an entry (process that accepts jobs) concludes from a refused write of a job that it owns. */
class JobConflictsTest {
    private static final String INCARNATION = "entry~1";
    private static final long STORED_VERSION = 9;
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 5_000);
    private static final JobPlan PLAN = new JobPlan(
            "queue",
            "payload",
            List.of(new StepPlan(2, new Resources(1_600, 64, 0), 300, List.of(), "", "", 0)),
            /* durable= */ true);

    private final VirtualLoop loop = new VirtualLoop(new VirtualTime(), "entry");
    private final StoreRetryBudget retries = new StoreRetryBudget(loop, INCARNATION);
    private final JobConflicts conflicts = new JobConflicts(
            loop,
            new EntryParameters("entry", INCARNATION, "entry:1", /* finishedJobRetentionMilliseconds= */ 120_000),
            new StoredJobReader(loop, new SilentStore(), retries),
            retries);

    private static StoredRecord openRecord(String owner) {
        JobRecord content = new JobRecord(
                owner, /* generation= */ 0, PLAN, QUEUE, /* acceptedMilliseconds= */ 0, /* started= */ true, List.of());
        return new StoredRecord(
                new RecordKey(JobWriter.OPEN_TABLE, JobWriter.partOf("job"), "job"),
                content.toBytes(),
                STORED_VERSION,
                /* removed= */ false);
    }

    private JobConflict assess(StoredRecord open) {
        OwnedJob job = new OwnedJob("job", PLAN, QUEUE, /* generation= */ 0, /* accepted= */ 0, /* arrivedAt= */ 0);
        job.setVersion(STORED_VERSION - 1);
        return conflicts.assess(job, new JobWriter.Result.Conflicted(open, /* finishedRecord= */ null));
    }

    /**
     * Guards against a job that is dropped for good because its record, which names this entry, has another version.
     */
    @ParameterizedTest
    @ValueSource(strings = {INCARNATION, "entry~2", "other~1"})
    void jobIsGivenUpOnlyIfItsRecordNamesAnotherEntry(String owner) {
        StoredRecord open = openRecord(owner);
        JobConflict expected = owner.equals(INCARNATION)
                ? new JobConflict.OwnRecord(STORED_VERSION)
                : new JobConflict.OtherOwner(open);
        assertEquals(expected, assess(open));
    }

    /** Guards against a state that is inferred from the lack of an open record. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobWithoutAnOpenRecordIsClosedInAStateThatIsNotKnown(boolean finalStateDecided) {
        OwnedJob job = new OwnedJob("job", PLAN, QUEUE, /* generation= */ 0, /* accepted= */ 0, /* arrivedAt= */ 0);
        if (finalStateDecided) {
            job.decideFinalState(JobState.COMPLETED);
        }
        assertEquals(
                new JobConflict.Closed(),
                conflicts.assess(job, new JobWriter.Result.Conflicted(/* unfinishedRecord= */ null, null)));
    }

    /** Store that never answers. */
    private static final class SilentStore implements RecordStore {
        @Override
        public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {}

        @Override
        public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {}

        @Override
        public void follow(String table, long after, long waitMilliseconds, Consumer<FollowOutcome> receiver) {}
    }
}
