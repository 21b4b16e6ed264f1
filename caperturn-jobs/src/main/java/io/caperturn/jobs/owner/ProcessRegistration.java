package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.RetryBackoff;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;

/**
 * Registration of a process in the stored table of processes, by conditional writes that fail if another process has
 * changed the record meanwhile. The process is an entry, which accepts jobs, or a sidecar, which runs beside an
 * upstream. An incarnation is one start of a process.
 */
public final class ProcessRegistration {
    /** Name of the table of processes, which has one record for each instance. */
    public static final String MEMBER_TABLE = "caperturn-members";
    /** Limit of the first delay before a retry, in milliseconds: short, because the start of a process waits for it. */
    private static final long FIRST_RETRY_MILLISECONDS = 250;
    /** Limit of every delay before a retry, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 1_000;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final String node;
    private final Function<Optional<MemberRecord>, MemberRecord> recordFactory;
    private byte[] encodedRecord = new byte[0];
    private final LongConsumer versionReceiver;
    private final StoreRetryBudget retries;
    private final RetryBackoff backoff;
    private boolean finished;

    /**
     * Creates a registration; {@link #start} writes it.
     *
     * @param store the store
     * @param loop the loop on which all calls are made
     * @param node name of the instance
     * @param recordFactory computes the new record from the previous one, if there is one
     * @param versionReceiver receiver of the version of the written record, which is unique to this incarnation
     * @param retries the budget of this process for repeated calls
     */
    public ProcessRegistration(
            RecordStore store,
            DecisionLoop loop,
            String node,
            Function<Optional<MemberRecord>, MemberRecord> recordFactory,
            LongConsumer versionReceiver,
            StoreRetryBudget retries) {
        this.store = store;
        this.loop = loop;
        this.node = node;
        this.recordFactory = recordFactory;
        this.versionReceiver = versionReceiver;
        this.retries = retries;
        this.backoff = retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS);
    }

    /** Writes the record, and retries until it is stored. */
    public void start() {
        write(/* version= */ 0, Optional.empty());
    }

    /** Stops retries, and reports no version any more. */
    public void stop() {
        finished = true;
    }

    /**
     * Removes a record if it has not been changed since it was read.
     *
     * @param store the store
     * @param record the record as it was read
     * @param receiver receives the outcome
     */
    static void remove(RecordStore store, StoredRecord record, Consumer<RecordStore.WriteOutcome> receiver) {
        store.transact(
                new RecordTransaction(
                        Map.of(record.key(), record.version()),
                        /* puts= */ Map.of(),
                        /* removes= */ List.of(record.key())),
                receiver);
    }

    /** Writes the record if the stored one has a version; 0 stands for no stored record. */
    private void write(long version, Optional<MemberRecord> previous) {
        if (finished) {
            return;
        }
        RecordKey key = new RecordKey(MEMBER_TABLE, /* part= */ "", node);
        encodedRecord = recordFactory.apply(previous).toBytes();
        store.transact(new RecordTransaction(Map.of(key, version), Map.of(key, encodedRecord), List.of()), outcome -> {
            switch (outcome) {
                case RecordStore.WriteOutcome.Committed committed -> complete(committed.version());
                case RecordStore.WriteOutcome.Conflicted conflicted -> {
                    StoredRecord current = conflicted.current().isEmpty()
                            ? null
                            : conflicted.current().getFirst();
                    // The record is already stored if only the answer to an earlier attempt was lost.
                    if (current != null && Arrays.equals(current.value(), encodedRecord)) {
                        complete(current.version());
                    } else {
                        write(current == null ? 0 : current.version(), parse(current));
                    }
                }
                case RecordStore.WriteOutcome.Refused refused -> retry(version, previous, refused.reason());
                case RecordStore.WriteOutcome.Unconfirmed unconfirmed -> retry(version, previous, unconfirmed.reason());
            }
        });
    }

    private void complete(long version) {
        if (!finished) {
            finished = true;
            loop.log().event(EventName.REGISTERED, EventKey.NODE, node, EventKey.VERSION, version);
            versionReceiver.accept(version);
        }
    }

    private void retry(long version, Optional<MemberRecord> previous, String reason) {
        loop.log().event(EventName.REGISTER_RETRY, EventKey.NODE, node, EventKey.REASON, reason);
        retries.retry(backoff, () -> write(version, previous));
    }

    private Optional<MemberRecord> parse(StoredRecord current) {
        try {
            return current == null ? Optional.empty() : Optional.of(MemberRecord.decode(node, current.value()));
        } catch (IOException e) {
            loop.log().event(EventName.RECORD_UNREADABLE, EventKey.MEMBER, node, EventKey.REASON, e.getMessage());
            return Optional.empty();
        }
    }
}
