package io.caperturn.jobs.simulation;

import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Store of a simulation, which can be away, lose answers, and carry out writes late. */
final class MemoryStore {
    private static final long CALL_MILLISECONDS = 4;
    private static final long TIMEOUT_MILLISECONDS = 150;
    private static final long FOLLOW_MILLISECONDS = 1_000;

    private final VirtualTime time;
    private final Map<String, StoredRecord> rows = new TreeMap<>();
    private final List<StoredRecord> history = new ArrayList<>();
    private long version;
    private long forgottenUntil;
    private Fault fault = Fault.NONE;

    /** What is wrong with the store. */
    enum Fault {
        NONE,
        /** Refuses all. */
        BUSY,
        /** Answers nothing and does nothing. */
        SILENT,
        /** Does writes and loses their answers. */
        ANSWERS_LOST,
        /** Does writes a second after their time-out. */
        LATE
    }

    MemoryStore(VirtualTime time) {
        this.time = time;
    }

    void fault(Fault next) {
        fault = next;
    }

    /** Forgets all changes so far; who follows has to read anew. */
    void forgetHistory() {
        history.clear();
        forgottenUntil = version;
    }

    /** Gives the value of a row, or null. */
    byte[] value(String table, String part, String name) {
        StoredRecord stored = rows.get(index(new RecordKey(table, part, name)));
        return stored == null ? null : stored.value();
    }

    /** Counts the rows of a table. */
    long count(String table) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .count();
    }

    /** Gives the view of one process. */
    RecordStore of(VirtualLoop loop) {
        return new View(loop);
    }

    private static String index(RecordKey key) {
        return key.table() + '\n' + key.part() + '\n' + key.name();
    }

    private RecordStore.WriteOutcome apply(RecordTransaction transaction) {
        List<StoredRecord> current = new ArrayList<>();
        boolean holds = true;
        for (Map.Entry<RecordKey, Long> check : transaction.checks().entrySet()) {
            StoredRecord stored = rows.get(index(check.getKey()));
            if (stored != null) {
                current.add(stored);
            }
            holds &= (stored == null ? 0 : stored.version()) == check.getValue();
        }
        if (!holds) {
            return new RecordStore.WriteOutcome.Conflicted(current);
        }
        version++;
        transaction.puts().forEach((key, value) -> {
            StoredRecord row = new StoredRecord(key, value, version, false);
            rows.put(index(key), row);
            history.add(row);
        });
        for (RecordKey key : transaction.removes()) {
            rows.remove(index(key));
            history.add(new StoredRecord(key, new byte[0], version, true));
        }
        return new RecordStore.WriteOutcome.Committed(version);
    }

    private final class View implements RecordStore {
        private final VirtualLoop loop;

        View(VirtualLoop loop) {
            this.loop = loop;
        }

        @Override
        public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {
            Fault seen = fault;
            switch (seen) {
                case NONE -> answer(CALL_MILLISECONDS, () -> apply(transaction), receiver);
                case BUSY -> answer(CALL_MILLISECONDS, () -> new WriteOutcome.Refused("busy"), receiver);
                default -> {
                    if (seen == Fault.ANSWERS_LOST) {
                        time.after(CALL_MILLISECONDS / 2, () -> apply(transaction));
                    } else if (seen == Fault.LATE) {
                        time.after(TIMEOUT_MILLISECONDS + 1_000, () -> apply(transaction));
                    }
                    answer(TIMEOUT_MILLISECONDS, () -> new WriteOutcome.Unconfirmed("no answer"), receiver);
                }
            }
        }

        @Override
        public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {
            if (isAway()) {
                answer(TIMEOUT_MILLISECONDS, () -> new ReadOutcome.Failed("away"), receiver);
                return;
            }
            answer(
                    CALL_MILLISECONDS,
                    () -> new ReadOutcome.Found(
                            rows.values().stream()
                                    .filter(row -> row.key().table().equals(table)
                                            && row.key().part().equals(part)
                                            && row.key().name().compareTo(from) >= 0
                                            && (until.isEmpty()
                                                    || row.key().name().compareTo(until) < 0))
                                    .toList(),
                            false,
                            version),
                    receiver);
        }

        @Override
        public void follow(String table, long afterVersion, Consumer<FollowOutcome> receiver) {
            if (isAway()) {
                answer(TIMEOUT_MILLISECONDS, () -> new FollowOutcome.Failed("away"), receiver);
            } else {
                look(table, afterVersion, time.now() + FOLLOW_MILLISECONDS, receiver);
            }
        }

        private void look(String table, long after, long until, Consumer<FollowOutcome> receiver) {
            List<StoredRecord> changes = history.stream()
                    .filter(row -> row.key().table().equals(table) && row.version() > after)
                    .toList();
            if (after < forgottenUntil) {
                answer(1, FollowOutcome.HistoryLost::new, receiver);
            } else if (!changes.isEmpty() || time.now() >= until) {
                answer(1, () -> new FollowOutcome.Changed(changes, version), receiver);
            } else {
                time.after(CALL_MILLISECONDS, () -> look(table, after, until, receiver));
            }
        }

        private boolean isAway() {
            return fault == Fault.BUSY || fault == Fault.SILENT;
        }

        private <T> void answer(long delay, Supplier<T> outcome, Consumer<T> receiver) {
            time.after(delay / 2, () -> {
                T result = outcome.get();
                time.after(delay - delay / 2, () -> loop.run(() -> receiver.accept(result)));
            });
        }
    }
}
