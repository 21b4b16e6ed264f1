package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.List;

/** Reader of jobs that this entry doesn't own. */
final class StoredJobs {
    private final DecisionLoop loop;
    private final RecordStore store;

    StoredJobs(DecisionLoop loop, RecordStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Receiver of a job's record, if it is not over, and of what a caller is told of it. */
    interface Receiver {
        void accept(StoredRecord open, CallerAnswers.Lookup answer);
    }

    /** Reads a job from the store: first among those that are not over, since it can only move from there. */
    void read(String identity, Receiver receiver) {
        String part = JobWriter.partOf(identity);
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
                            case RecordStore.ReadOutcome.Found closed -> receiver.accept(null, endOf(closed.records()));
                        }
                    });
            }
        });
    }

    private CallerAnswers.Lookup stateOf(StoredRecord open) {
        try {
            return new CallerAnswers.Lookup.Found(JobRecord.of(open.value()).started() ? JobState.RUNNING : JobState.QUEUED);
        } catch (IOException e) {
            return unreadable(open, e);
        }
    }

    private CallerAnswers.Lookup endOf(List<StoredRecord> records) {
        if (records.isEmpty()) {
            return new CallerAnswers.Lookup.Unknown();
        }
        try {
            return new CallerAnswers.Lookup.Found(
                    ClosedRecord.of(records.getFirst().value()).state());
        } catch (IOException e) {
            return unreadable(records.getFirst(), e);
        }
    }

    CallerAnswers.Lookup unreadable(StoredRecord stored, IOException e) {
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
