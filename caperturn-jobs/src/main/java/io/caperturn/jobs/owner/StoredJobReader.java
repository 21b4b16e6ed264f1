package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.List;

/** Reader of stored jobs that this entry does not own. */
final class StoredJobReader {
    private final DecisionLoop loop;
    private final RecordStore store;

    StoredJobReader(DecisionLoop loop, RecordStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Receiver of the record of a job, or null if the job is not open, and of the answer for a caller. */
    interface Receiver {
        void accept(StoredRecord open, CallerAnswers.Lookup answer);
    }

    /**
     * Reads a job from the store: first from the table of open jobs, then from that of closed jobs. A job that is
     * closed in between is found in this order, and would be missed in the other.
     */
    void read(String identity, Receiver receiver) {
        String part = JobWriter.partOf(identity);
        // The smallest name after the identity: the range between them contains only this job.
        String after = identity + '\0';
        store.read(JobWriter.OPEN_TABLE, part, identity, after, first -> {
            switch (first) {
                case RecordStore.ReadOutcome.Failed failed ->
                    receiver.accept(null, new CallerAnswers.Lookup.Unavailable(failed.reason()));
                case RecordStore.ReadOutcome.Found open
                when !open.records().isEmpty() -> {
                    StoredRecord stored = open.records().getFirst();
                    receiver.accept(stored, stateOf(stored));
                }
                case RecordStore.ReadOutcome.Found ignored ->
                    store.read(JobWriter.CLOSED_TABLE, part, identity, after, second -> {
                        switch (second) {
                            case RecordStore.ReadOutcome.Failed failed ->
                                receiver.accept(null, new CallerAnswers.Lookup.Unavailable(failed.reason()));
                            case RecordStore.ReadOutcome.Found closed ->
                                receiver.accept(null, finalStateOf(closed.records()));
                        }
                    });
            }
        });
    }

    private CallerAnswers.Lookup stateOf(StoredRecord open) {
        try {
            return new CallerAnswers.Lookup.Found(
                    JobRecord.of(open.value()).started() ? JobState.RUNNING : JobState.QUEUED);
        } catch (IOException e) {
            return handleUnreadable(open, e);
        }
    }

    private CallerAnswers.Lookup finalStateOf(List<StoredRecord> records) {
        if (records.isEmpty()) {
            return new CallerAnswers.Lookup.Unknown();
        }
        try {
            return new CallerAnswers.Lookup.Found(
                    ClosedRecord.of(records.getFirst().value()).state());
        } catch (IOException e) {
            return handleUnreadable(records.getFirst(), e);
        }
    }

    /** Logs a record that cannot be decoded, and returns the answer for a caller. */
    CallerAnswers.Lookup handleUnreadable(StoredRecord stored, IOException e) {
        loop.log()
                .event(
                        EventName.RECORD_UNREADABLE,
                        EventKey.JOB,
                        stored.key().name(),
                        EventKey.VERSION,
                        stored.version(),
                        EventKey.REASON,
                        e.getMessage());
        return new CallerAnswers.Lookup.Unavailable("unreadable");
    }
}
