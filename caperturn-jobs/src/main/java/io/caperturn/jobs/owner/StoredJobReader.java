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

/**
 * Reader of stored jobs that this entry, a process that accepts jobs, does not own. Each table of jobs is divided into
 * parts; the identity of a job determines its part.
 */
final class StoredJobReader {
    private final DecisionLoop loop;
    private final RecordStore store;

    StoredJobReader(DecisionLoop loop, RecordStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Receiver of the result of a read. */
    interface Receiver {
        /**
         * Receives the result.
         *
         * @param openRecord record of the job; null if the job is not open, or the store cannot be read
         * @param answer answer to a caller who asks for the state of the job
         */
        void accept(StoredRecord openRecord, CallerAnswers.Lookup answer);
    }

    /**
     * Reads a job from the store: first from the table of open (unfinished) jobs, then from that of closed jobs. This
     * order finds a job that is closed between the two reads; the reverse order would miss it.
     */
    void read(String identity, Receiver receiver) {
        String part = JobWriter.partOf(identity);
        // The smallest name greater than the identity, so that the range read contains only this job.
        String nextName = identity + '\0';
        store.read(JobWriter.OPEN_TABLE, part, identity, nextName, openOutcome -> {
            switch (openOutcome) {
                case RecordStore.ReadOutcome.Failed failed ->
                    receiver.accept(null, new CallerAnswers.Lookup.Unavailable(failed.reason()));
                case RecordStore.ReadOutcome.Found open
                when !open.records().isEmpty() -> {
                    StoredRecord stored = open.records().getFirst();
                    receiver.accept(stored, stateOf(stored));
                }
                case RecordStore.ReadOutcome.Found none ->
                    store.read(JobWriter.CLOSED_TABLE, part, identity, nextName, closedOutcome -> {
                        switch (closedOutcome) {
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
                    JobRecord.decode(open.value()).started() ? JobState.RUNNING : JobState.QUEUED);
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
