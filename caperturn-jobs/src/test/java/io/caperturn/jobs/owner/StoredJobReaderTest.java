package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.EventName;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the open jobs are read on after one whose handling fails with an unexpected exception. */
class StoredJobReaderTest {
    private static StoredRecord job(String table, String part, String name) {
        return new StoredRecord(new RecordKey(table, part, name), new byte[] {1}, 7, /* removed= */ false);
    }

    @ParameterizedTest
    @ValueSource(strings = {"p0-a", "p0-b", "p0-c", "p0-d", "p3-d"})
    void otherJobsAreHandledAfterAFailure(String failing) {
        VirtualLoop loop = new VirtualLoop(new VirtualTime(), "process");
        RecordStore store = new RecordStore() {
            @Override
            public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {}

            @Override
            public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {
                List<StoredRecord> page = from.isEmpty()
                        ? List.of(job(table, part, part + "-a"), job(table, part, part + "-b"))
                        : List.of(job(table, part, part + "-c"), job(table, part, part + "-d"));
                receiver.accept(new ReadOutcome.Found(page, /* more= */ from.isEmpty(), 7));
            }

            @Override
            public void follow(String table, long after, long waitMilliseconds, Consumer<FollowOutcome> receiver) {}
        };
        TreeSet<String> handled = new TreeSet<>();
        List<String> pages = new ArrayList<>();
        new StoredJobReader(loop, store, new StoreRetryBudget(loop, "process"))
                .readOpenJobs(new StoredJobReader.ScanReceiver() {
                    @Override
                    public Consumer<StoredJobReader.Page> pageRequested() {
                        return page -> pages.add(
                                page.part() + page.from() + page.last().orElse(""));
                    }

                    @Override
                    public void jobFound(StoredRecord stored) {
                        if (stored.key().name().equals(failing)) {
                            throw new IllegalStateException("unexpected");
                        }
                        handled.add(stored.key().name());
                    }
                });
        TreeSet<String> expected = new TreeSet<>();
        for (int number = 0; number < JobWriter.PARTS; number++) {
            String part = JobWriter.partName(number);
            expected.addAll(List.of(part + "-a", part + "-b", part + "-c", part + "-d"));
        }
        expected.remove(failing);
        assertEquals(expected, handled);
        assertEquals(2 * JobWriter.PARTS, pages.size(), () -> "pages: " + pages);
        assertTrue(loop.logLines().stream().anyMatch(line -> line.contains(" " + EventName.EXCEPTION.label() + " ")));
    }
}
