package io.caperturn.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tables in memory with conditional transactions; may be used by several threads. */
public final class Tables {
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Map<String, Long> lastVersions = new HashMap<>();

    /**
     * Conditional write of one row.
     *
     * @param table the table's name
     * @param key the row's key
     * @param expectedVersion the version that the row must have, 0 if it must not exist
     * @param value the new text; null deletes
     */
    public record Write(String table, String key, long expectedVersion, String value) {}

    /**
     * Key of a row to read.
     *
     * @param table the table's name
     * @param key the row's key
     */
    public record Read(String table, String key) {}

    /**
     * Outcome of a transaction.
     *
     * @param committed whether all writes took effect; else none did
     * @param rows the rows read after the writes, or the present rows of all writes if not committed
     */
    public record Outcome(boolean committed, List<Row> rows) {
        /** Copies the rows. */
        public Outcome {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Applies all writes if all conditions hold, and reads.
     *
     * @param reads what to read after the writes
     * @param writes what to write
     * @return the outcome
     */
    public synchronized Outcome transact(List<Read> reads, List<Write> writes) {
        boolean holds = writes.stream()
                .allMatch(write -> row(write.table(), write.key()).version() == write.expectedVersion());
        if (!holds) {
            List<Row> present = new ArrayList<>();
            writes.forEach(write -> present.add(row(write.table(), write.key())));
            return new Outcome(false, present);
        }
        writes.forEach(this::apply);
        List<Row> rows = new ArrayList<>();
        reads.forEach(read -> rows.add(row(read.table(), read.key())));
        return new Outcome(true, rows);
    }

    /**
     * Lists rows in the order of their keys.
     *
     * @param table the table's name
     * @param after the key before the first row listed, empty for the first
     * @param limit the most rows
     * @return the rows
     */
    public synchronized List<Row> list(String table, String after, int limit) {
        TreeMap<String, Row> rows = tables.getOrDefault(table, new TreeMap<>());
        return rows.tailMap(after, false).values().stream().limit(limit).toList();
    }

    private Row row(String table, String key) {
        TreeMap<String, Row> rows = tables.getOrDefault(table, new TreeMap<>());
        return rows.getOrDefault(key, new Row(table, key, 0, null));
    }

    private void apply(Write write) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(write.table(), ignored -> new TreeMap<>());
        if (write.value() == null) {
            rows.remove(write.key());
            return;
        }
        long version = lastVersions.merge(write.table() + '\n' + write.key(), 1L, Long::sum);
        rows.put(write.key(), new Row(write.table(), write.key(), version, write.value()));
    }
}
