package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.UnexpectedExceptions;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RetryBackoff;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Reader of stored jobs that this entry, a process that accepts jobs, does not own. Each table of jobs is divided into
 * parts; the identity of a job determines its part.
 */
final class StoredJobReader {
    /** Limit of the first delay before a part that could not be read is read again, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 500;
    /** Limit of every delay before a part that could not be read is read again, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 2_000;

    /** Time after a failed read of a job for which reads that nobody waits for are left out, in milliseconds. */
    private static final long FAILURE_PAUSE_MILLISECONDS = 400;

    /** Reason for which the state of a job is not available: its record cannot be decoded. */
    static final String UNREADABLE = "unreadable";

    private final DecisionLoop loop;
    private final RecordStore store;
    private final StoreRetryBudget retries;
    private final RetryBackoff backoff;
    /** Parts of the open jobs that could not be read, with the name from which to go on. */
    private final Map<String, String> unreadParts = new LinkedHashMap<>();

    private boolean retryScheduled;
    /** When a read of a job last failed, in milliseconds of the loop's clock. */
    private long lastFailureAt = Long.MIN_VALUE / 2;

    StoredJobReader(DecisionLoop loop, RecordStore store, StoreRetryBudget retries) {
        this.loop = loop;
        this.store = store;
        this.retries = retries;
        this.backoff = retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS);
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

    /** Receiver of what a scan of the open jobs finds. */
    interface ScanReceiver {
        /** Called before a page is read; what it returns is given that page, after its jobs. */
        Consumer<Page> pageRequested();

        /** Receives an open job. */
        void jobFound(StoredRecord openRecord);
    }

    /**
     * Page of the table of open jobs: all jobs of a part whose names are in a range.
     *
     * @param part the part
     * @param from first name of the range
     * @param last last name of the range; empty if it ends with the part
     * @param names the names
     */
    record Page(String part, String from, Optional<String> last, Set<String> names) {
        private static Page of(String part, String from, RecordStore.ReadOutcome.Found found) {
            Set<String> names =
                    found.records().stream().map(stored -> stored.key().name()).collect(Collectors.toUnmodifiableSet());
            return new Page(
                    part,
                    from,
                    found.more() ? Optional.of(found.records().getLast().key().name()) : Optional.empty(),
                    names);
        }

        /** Returns whether a job would be on this page if it were open, and is not. */
        boolean lacks(String job) {
            return part.equals(JobWriter.partOf(job))
                    && job.compareTo(from) >= 0
                    && last.map(name -> job.compareTo(name) <= 0).orElse(true)
                    && !names.contains(job);
        }
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
                case RecordStore.ReadOutcome.Failed failed -> handleFailure(failed, receiver);
                case RecordStore.ReadOutcome.Found open
                when !open.records().isEmpty() -> {
                    StoredRecord stored = open.records().getFirst();
                    receiver.accept(stored, stateOf(stored));
                }
                case RecordStore.ReadOutcome.Found none ->
                    store.read(JobWriter.CLOSED_TABLE, part, identity, nextName, closedOutcome -> {
                        switch (closedOutcome) {
                            case RecordStore.ReadOutcome.Failed failed -> handleFailure(failed, receiver);
                            case RecordStore.ReadOutcome.Found closed ->
                                receiver.accept(null, finalStateOf(closed.records()));
                        }
                    });
            }
        });
    }

    private void handleFailure(RecordStore.ReadOutcome.Failed failed, Receiver receiver) {
        lastFailureAt = loop.monotonicMilliseconds();
        receiver.accept(null, new CallerAnswers.Lookup.Unavailable(failed.reason()));
    }

    /** Returns whether no read of a job has failed lately, so that the next one can be expected to be answered. */
    boolean isStoreResponsive() {
        return loop.monotonicMilliseconds() - lastFailureAt >= FAILURE_PAUSE_MILLISECONDS;
    }

    /** Reads all open jobs, and repeats what cannot be read until it has been. */
    void readOpenJobs(ScanReceiver receiver) {
        for (int number = 0; number < JobWriter.PARTS; number++) {
            readOpenJobs(JobWriter.partName(number), /* from= */ "", receiver);
        }
    }

    /** Reads one part of the open jobs, from the job with a given name to the end of the part. */
    private void readOpenJobs(String part, String from, ScanReceiver receiver) {
        Consumer<Page> pageReceiver = receiver.pageRequested();
        store.read(JobWriter.OPEN_TABLE, part, from, "", outcome -> {
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    backoff.reset();
                    readUnreadParts(receiver);
                    page.records().forEach(stored -> handle(stored, receiver));
                    pageReceiver.accept(Page.of(part, from, page));
                    if (page.more()) {
                        readOpenJobs(part, page.records().getLast().key().name() + '\0', receiver);
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    loop.log().event(EventName.SCAN_FAILED, EventKey.PART, part, EventKey.REASON, failed.reason());
                    // Of two reads of a part that failed, the one that has more to read is repeated.
                    unreadParts.merge(part, from, (first, second) -> first.compareTo(second) < 0 ? first : second);
                    scheduleRetry(receiver);
                }
            }
        });
    }

    /** Passes on a job; an unexpected exception must neither end the reading nor keep the later jobs from it. */
    private void handle(StoredRecord stored, ScanReceiver receiver) {
        try {
            receiver.jobFound(stored);
        } catch (RuntimeException e) {
            UnexpectedExceptions.record(
                    loop.log(), e, EventKey.JOB, stored.key().name());
        }
    }

    /** Reads one of the parts that could not be read after a while; the others follow if that succeeds. */
    private void scheduleRetry(ScanReceiver receiver) {
        if (retryScheduled) {
            return;
        }
        retryScheduled = true;
        retries.retry(backoff, () -> {
            retryScheduled = false;
            if (!unreadParts.isEmpty()) {
                String part = unreadParts.keySet().iterator().next();
                readOpenJobs(part, unreadParts.remove(part), receiver);
            }
        });
    }

    private void readUnreadParts(ScanReceiver receiver) {
        Map<String, String> parts = new LinkedHashMap<>(unreadParts); // Map.copyOf has no fixed order.
        unreadParts.clear();
        parts.forEach((part, from) -> readOpenJobs(part, from, receiver));
    }

    /** Returns the incarnation of the entry that the record of an open job names as its owner; empty if unreadable. */
    Optional<String> ownerOf(StoredRecord open) {
        try {
            return Optional.of(JobRecord.decode(open.value()).owner());
        } catch (IOException e) {
            handleUnreadable(open, e);
            return Optional.empty();
        }
    }

    private CallerAnswers.Lookup stateOf(StoredRecord open) {
        try {
            return new CallerAnswers.Lookup.Found(JobRecord.decode(open.value()).state());
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
                        e.getMessage(),
                        EventKey.ACTION,
                        "ignored");
        return new CallerAnswers.Lookup.Unavailable(UNREADABLE);
    }
}
