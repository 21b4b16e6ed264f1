package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RetryBackoff;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Conflicts of this entry's writes of stored jobs with what the store holds by then. A refused write does not tell
 * which state a job has: another entry may have completed, failed or cancelled it. So the final state is read.
 */
final class JobConflicts {
    /** Limit of the first delay before a final state that could not be read is read again, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 100;
    /** Limit of every delay before a final state that could not be read is read again, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 1_000;
    /** Maximum number of final states to be read; callers who ask for others have them read from the store. */
    private static final int MAXIMUM_WAITING = 1_000;

    private final DecisionLoop loop;
    private final String incarnation;
    private final StoredJobReader storedJobReader;
    private final StoreRetryBudget retries;
    private final RetryBackoff backoff;
    /** Final states to be read, one at a time. */
    private final Deque<WaitingRead> waiting = new ArrayDeque<>();

    private boolean reading;
    /** Whether the next final state is read after a delay, because the last read failed. */
    private boolean retryScheduled;

    JobConflicts(
            DecisionLoop loop, EntryParameters parameters, StoredJobReader storedJobReader, StoreRetryBudget retries) {
        this.loop = loop;
        this.incarnation = parameters.incarnation();
        this.storedJobReader = storedJobReader;
        this.retries = retries;
        this.backoff = retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS);
    }

    private record WaitingRead(String job, Consumer<JobState> receiver) {}

    /** Returns what a refused write of a job met, and logs it. */
    JobConflict assess(OwnedJob job, JobWriter.Result.Conflicted conflicted) {
        Optional<StoredRecord> open = Optional.ofNullable(conflicted.unfinishedRecord());
        Optional<String> owner = open.flatMap(storedJobReader::ownerOf);
        loop.log()
                .event(
                        EventName.JOB_CONFLICT,
                        EventKey.JOB,
                        job.identity(),
                        EventKey.VERSION,
                        job.version(),
                        EventKey.OPEN,
                        open.isPresent(),
                        EventKey.STORED,
                        open.map(StoredRecord::version).orElse(0L),
                        EventKey.OWNER,
                        owner.orElse(""),
                        EventKey.OUTCOME,
                        job.finalState() == null ? "" : job.finalState());
        loop.log().count("job-conflict");
        if (open.isEmpty()) {
            return new JobConflict.Closed();
        }
        return owner.filter(incarnation::equals).isPresent()
                ? new JobConflict.OwnRecord(open.get().version())
                : new JobConflict.OtherOwner(open.get());
    }

    /**
     * Reads the final state of a closed job, as soon as the store can be read; the receiver is not called if the store
     * tells none.
     */
    void readFinalState(String job, Consumer<JobState> receiver) {
        if (waiting.size() < MAXIMUM_WAITING) {
            waiting.add(new WaitingRead(job, receiver));
            readNext();
        }
    }

    private void readNext() {
        if (reading || retryScheduled || waiting.isEmpty()) {
            return;
        }
        reading = true;
        WaitingRead next = waiting.peek();
        storedJobReader.read(next.job(), (openRecord, answer) -> {
            reading = false;
            if (answer instanceof CallerAnswers.Lookup.Unavailable unavailable
                    && !unavailable.reason().equals(StoredJobReader.UNREADABLE)) {
                retryScheduled = true;
                retries.retry(backoff, () -> {
                    retryScheduled = false;
                    readNext();
                });
                return;
            }
            backoff.reset();
            waiting.remove(next);
            readNext();
            if (openRecord == null && answer instanceof CallerAnswers.Lookup.Found found) {
                next.receiver().accept(found.state());
            }
        });
    }

    /** Stops reading; the receivers of what has not been read are not called. */
    void clear() {
        waiting.clear();
    }
}
