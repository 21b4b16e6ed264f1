package io.caperturn.jobs.simulation;

import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** In-memory store of a simulation that can be unavailable, lose answers, and execute writes late. */
final class MemoryStore {
    private static final long CALL_LATENCY_MILLISECONDS = 4;
    private static final long TIMEOUT_MILLISECONDS = 150;

    private final VirtualTime time;
    private final Map<String, StoredRecord> rows = new TreeMap<>();
    private final List<StoredRecord> history = new ArrayList<>();
    private long lastTransactionVersion;
    private long historyDiscardedUpToVersion;
    private Fault fault = Fault.NONE;
    private long latenessMilliseconds = 1_000;
    private int pageRows = 500;
    /** Processes that the store refuses while it serves the others. */
    private final Set<VirtualLoop> refusedProcesses = new HashSet<>();
    /** Processes whose writes the store refuses. */
    private final Set<VirtualLoop> writersRefused = new HashSet<>();
    /** Processes whose calls to follow a table are not answered. */
    private final Set<VirtualLoop> silentFollowers = new HashSet<>();
    /** Number of calls so far, by kind: write, read or follow. */
    private final Map<String, Integer> callCounts = new TreeMap<>();
    /** Number of calls in each second, by kind and second. */
    private final Map<String, Map<Long, Integer>> callsBySecond = new TreeMap<>();

    /** Fault of the store. */
    enum Fault {
        NONE,
        /** Refuses all calls. */
        BUSY,
        /** Neither answers nor executes calls. */
        SILENT,
        /** Executes writes, but loses their answers. */
        ANSWERS_LOST,
        /** Executes writes only after they have timed out: a second later, or the time that was set. */
        LATE
    }

    MemoryStore(VirtualTime time) {
        this.time = time;
    }

    void setFault(Fault next) {
        fault = next;
    }

    /** Sets how long after their time-out late writes are executed, in milliseconds. */
    void setLateness(long milliseconds) {
        latenessMilliseconds = milliseconds;
    }

    /** Sets how many rows an answer to a read holds at most. */
    void setPageRows(int rows) {
        pageRows = rows;
    }

    /** Refuses all calls of a process from now on, or serves it again. */
    void setRefused(VirtualLoop process, boolean refused) {
        if (refused) {
            refusedProcesses.add(process);
        } else {
            refusedProcesses.remove(process);
        }
    }

    /** Refuses the writes of a process from now on, or executes them again. */
    void setWritesRefused(VirtualLoop process, boolean refused) {
        if (refused) {
            writersRefused.add(process);
        } else {
            writersRefused.remove(process);
        }
    }

    /** Leaves all calls of a process to follow a table without an answer from now on, or answers them again. */
    void setFollowSilent(VirtualLoop process, boolean silent) {
        if (silent) {
            silentFollowers.add(process);
        } else {
            silentFollowers.remove(process);
        }
    }

    /** Returns the number of calls so far of a kind: write, read or follow. */
    int callCount(String kind) {
        return callCounts.getOrDefault(kind, 0);
    }

    /** Returns the number of calls so far. */
    int callCount() {
        return callCounts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the largest number of calls of a kind within one second of the simulation, from a time on. */
    int mostCallsInASecond(String kind, long fromMilliseconds) {
        return callsBySecond.getOrDefault(kind, Map.of()).entrySet().stream()
                .filter(second -> second.getKey() >= fromMilliseconds / 1_000)
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    private void countCall(String kind) {
        callCounts.merge(kind, 1, Integer::sum);
        callsBySecond.computeIfAbsent(kind, key -> new TreeMap<>()).merge(time.now() / 1_000, 1, Integer::sum);
    }

    /** Discards the history of changes, so that those who follow a table have to read it again. */
    void discardHistory() {
        history.clear();
        historyDiscardedUpToVersion = lastTransactionVersion;
    }

    /** Returns the value of a row, or null if there is none. */
    byte[] value(String table, String part, String name) {
        StoredRecord stored = rows.get(rowKey(new RecordKey(table, part, name)));
        return stored == null ? null : stored.value();
    }

    /** Returns the number of rows of a table. */
    long rowCount(String table) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table))
                .count();
    }

    /** Returns access to the store whose answers arrive on the event loop of one process. */
    RecordStore viewFor(VirtualLoop loop) {
        return new ProcessView(loop);
    }

    private static String rowKey(RecordKey key) {
        return key.table() + '\n' + key.part() + '\n' + key.name();
    }

    private RecordStore.WriteOutcome apply(RecordTransaction transaction) {
        List<StoredRecord> current = new ArrayList<>();
        boolean checksHold = true;
        for (Map.Entry<RecordKey, Long> check : transaction.checks().entrySet()) {
            StoredRecord stored = rows.get(rowKey(check.getKey()));
            if (stored != null) {
                current.add(stored);
            }
            checksHold &= (stored == null ? 0 : stored.version()) == check.getValue();
        }
        if (!checksHold) {
            return new RecordStore.WriteOutcome.Conflicted(current);
        }
        lastTransactionVersion++;
        transaction.puts().forEach((key, value) -> {
            StoredRecord row = new StoredRecord(key, value, lastTransactionVersion, /* removed= */ false);
            rows.put(rowKey(key), row);
            history.add(row);
        });
        for (RecordKey key : transaction.removes()) {
            rows.remove(rowKey(key));
            history.add(new StoredRecord(key, new byte[0], lastTransactionVersion, /* removed= */ true));
        }
        return new RecordStore.WriteOutcome.Committed(lastTransactionVersion);
    }

    private final class ProcessView implements RecordStore {
        private final VirtualLoop loop;

        ProcessView(VirtualLoop loop) {
            this.loop = loop;
        }

        @Override
        public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {
            countCall("write");
            Fault current = refusedProcesses.contains(loop) || writersRefused.contains(loop) ? Fault.BUSY : fault;
            switch (current) {
                case NONE -> answer(CALL_LATENCY_MILLISECONDS, () -> apply(transaction), receiver);
                case BUSY -> answer(CALL_LATENCY_MILLISECONDS, () -> new WriteOutcome.Refused("busy"), receiver);
                default -> {
                    if (current == Fault.ANSWERS_LOST) {
                        time.after(CALL_LATENCY_MILLISECONDS / 2, () -> apply(transaction));
                    } else if (current == Fault.LATE) {
                        time.after(TIMEOUT_MILLISECONDS + latenessMilliseconds, () -> apply(transaction));
                    }
                    answer(TIMEOUT_MILLISECONDS, () -> new WriteOutcome.Unconfirmed("no answer"), receiver);
                }
            }
        }

        @Override
        public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {
            countCall("read");
            if (isUnavailable()) {
                answer(TIMEOUT_MILLISECONDS, () -> new ReadOutcome.Failed("unavailable"), receiver);
                return;
            }
            answer(
                    CALL_LATENCY_MILLISECONDS,
                    () -> {
                        List<StoredRecord> found = rows.values().stream()
                                .filter(row -> row.key().table().equals(table)
                                        && row.key().part().equals(part)
                                        && row.key().name().compareTo(from) >= 0
                                        && (until.isEmpty() || row.key().name().compareTo(until) < 0))
                                .toList();
                        return new ReadOutcome.Found(
                                found.subList(0, Math.min(pageRows, found.size())),
                                /* more= */ found.size() > pageRows,
                                lastTransactionVersion);
                    },
                    receiver);
        }

        @Override
        public void follow(String table, long afterVersion, long waitMilliseconds, Consumer<FollowOutcome> receiver) {
            countCall("follow");
            if (isUnavailable()) {
                answer(TIMEOUT_MILLISECONDS, () -> new FollowOutcome.Failed("unavailable"), receiver);
            } else if (silentFollowers.contains(loop)) {
                answer(waitMilliseconds + TIMEOUT_MILLISECONDS, () -> new FollowOutcome.Failed("silent"), receiver);
            } else {
                pollChanges(table, afterVersion, time.now() + waitMilliseconds, receiver);
            }
        }

        private void pollChanges(String table, long after, long until, Consumer<FollowOutcome> receiver) {
            List<StoredRecord> changes = history.stream()
                    .filter(row -> row.key().table().equals(table) && row.version() > after)
                    .toList();
            if (silentFollowers.contains(loop)) {
                answer(until - time.now() + TIMEOUT_MILLISECONDS, () -> new FollowOutcome.Failed("silent"), receiver);
                return;
            }
            // The version belongs to the changes; a transaction may follow before the answer leaves the store.
            long version = lastTransactionVersion;
            if (after < historyDiscardedUpToVersion) {
                answer(1, FollowOutcome.HistoryLost::new, receiver);
            } else if (!changes.isEmpty() || time.now() >= until) {
                answer(1, () -> new FollowOutcome.Changed(changes, version), receiver);
            } else {
                time.after(CALL_LATENCY_MILLISECONDS, () -> pollChanges(table, after, until, receiver));
            }
        }

        private boolean isUnavailable() {
            return fault == Fault.BUSY || fault == Fault.SILENT || refusedProcesses.contains(loop);
        }

        private <T> void answer(long delay, Supplier<T> outcome, Consumer<T> receiver) {
            time.after(delay / 2, () -> {
                T result = outcome.get();
                time.after(delay - delay / 2, () -> loop.run(() -> receiver.accept(result)));
            });
        }
    }
}
