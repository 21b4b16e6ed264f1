package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;

/** Entry of one process in the table of processes, written under the condition that nobody changed it meanwhile. */
public final class ProcessRegistration {
    /** Table of processes, a record for each instance. */
    public static final String MEMBER_TABLE = "caperturn-members";
    /** Pause before another try, in milliseconds: a start waits for this, so it is short. */
    private static final long RETRY_MILLISECONDS = 60;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final String node;
    private final Function<Optional<MemberRecord>, MemberRecord> content;
    private byte[] bytes = new byte[0];
    private final LongConsumer registered;
    private boolean over;

    /**
     * Prepares the entry.
     *
     * @param store the store
     * @param loop the loop on which all calls come
     * @param node name of the instance
     * @param content what is entered, worked out from what was entered there before, if there was anything
     * @param registered receiver of the version of the entry, which no other life of the process has
     */
    public ProcessRegistration(
            RecordStore store,
            DecisionLoop loop,
            String node,
            Function<Optional<MemberRecord>, MemberRecord> content,
            LongConsumer registered) {
        this.store = store;
        this.loop = loop;
        this.node = node;
        this.content = content;
        this.registered = registered;
    }

    /** Writes the entry, again and again until it stands. */
    public void start() {
        write(0, Optional.empty());
    }

    /** Stops trying. */
    public void stop() {
        over = true;
    }

    /**
     * Removes an entry if nobody changed it since it was read.
     *
     * @param store the store
     * @param entry the entry as it was read
     * @param receiver told whether it was removed
     */
    public static void remove(RecordStore store, StoredRecord entry, Consumer<Boolean> receiver) {
        store.transact(
                new RecordTransaction(Map.of(entry.key(), entry.version()), Map.of(), List.of(entry.key())),
                outcome -> receiver.accept(outcome instanceof RecordStore.WriteOutcome.Committed));
    }

    private void write(long version, Optional<MemberRecord> before) {
        if (over) {
            return;
        }
        RecordKey key = new RecordKey(MEMBER_TABLE, "", node);
        bytes = content.apply(before).toBytes();
        store.transact(new RecordTransaction(Map.of(key, version), Map.of(key, bytes), List.of()), outcome -> {
            switch (outcome) {
                case RecordStore.WriteOutcome.Committed committed -> done(committed.version());
                case RecordStore.WriteOutcome.Conflicted conflicted -> {
                    StoredRecord current = conflicted.current().isEmpty()
                            ? null
                            : conflicted.current().getFirst();
                    if (current != null && Arrays.equals(current.value(), bytes)) {
                        done(current.version());
                    } else {
                        write(current == null ? 0 : current.version(), read(current));
                    }
                }
                case RecordStore.WriteOutcome.Refused refused -> again(version, before, refused.reason());
                case RecordStore.WriteOutcome.Unconfirmed doubtful -> again(version, before, doubtful.reason());
            }
        });
    }

    private void done(long version) {
        if (!over) {
            over = true;
            loop.log().event(EventName.REGISTERED, EventKey.NODE, node, EventKey.VERSION, version);
            registered.accept(version);
        }
    }

    private void again(long version, Optional<MemberRecord> before, String reason) {
        loop.log().event(EventName.REGISTER_RETRY, EventKey.NODE, node, EventKey.REASON, reason);
        loop.after(RETRY_MILLISECONDS, () -> write(version, before));
    }

    private Optional<MemberRecord> read(StoredRecord current) {
        try {
            return current == null ? Optional.empty() : Optional.of(MemberRecord.of(current.value()));
        } catch (IOException e) {
            loop.log().event(EventName.RECORD_UNREADABLE, EventKey.MEMBER, node, EventKey.REASON, e.getMessage());
            return Optional.empty();
        }
    }
}
