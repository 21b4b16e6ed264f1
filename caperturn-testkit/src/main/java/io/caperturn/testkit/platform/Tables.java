package io.caperturn.testkit.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory tables. A transaction writes nothing if a row has another version than expected. Thread-safe. */
public final class Tables {
    private final Map<String, TreeMap<String, StoredRow>> tables = new HashMap<>();
    private final Map<String, Long> lastVersionByRow = new HashMap<>();

    /**
     * Conditional write of one row.
     *
     * @param table the table's name
     * @param key the row's key
     * @param expectedVersion the version that the row must have; 0 if it must not exist
     * @param value the new text; null deletes the row
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
     * Result of a transaction.
     *
     * @param committed whether all writes were applied; otherwise none was
     * @param rows if committed, the rows read after the writes; otherwise the current rows under the keys of the writes
     */
    public record TransactionResult(boolean committed, List<StoredRow> rows) {
        /** Copies the rows. */
        public TransactionResult {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Applies all writes if every row has its expected version, then reads.
     *
     * @param reads the rows to read after the writes
     * @param writes the writes
     * @return the result
     */
    public synchronized TransactionResult transact(List<Read> reads, List<Write> writes) {
        boolean conditionsHold = writes.stream()
                .allMatch(write -> findRow(write.table(), write.key()).version() == write.expectedVersion());
        if (!conditionsHold) {
            List<StoredRow> currentRows = new ArrayList<>();
            writes.forEach(write -> currentRows.add(findRow(write.table(), write.key())));
            return new TransactionResult(false, currentRows);
        }
        writes.forEach(this::apply);
        List<StoredRow> rows = new ArrayList<>();
        reads.forEach(read -> rows.add(findRow(read.table(), read.key())));
        return new TransactionResult(true, rows);
    }

    /**
     * Lists rows in key order.
     *
     * @param table the table's name
     * @param afterKey the key after which the listing starts; empty to start at the first row
     * @param limit the maximum number of rows
     * @return the rows
     */
    public synchronized List<StoredRow> listRows(String table, String afterKey, int limit) {
        TreeMap<String, StoredRow> rows = tables.getOrDefault(table, new TreeMap<>());
        return rows.tailMap(afterKey, false).values().stream().limit(limit).toList();
    }

    private StoredRow findRow(String table, String key) {
        TreeMap<String, StoredRow> rows = tables.getOrDefault(table, new TreeMap<>());
        return rows.getOrDefault(key, new StoredRow(table, key, 0, null));
    }

    private void apply(Write write) {
        TreeMap<String, StoredRow> rows = tables.computeIfAbsent(write.table(), ignored -> new TreeMap<>());
        if (write.value() == null) {
            rows.remove(write.key());
            return;
        }
        long version = lastVersionByRow.merge(write.table() + '\n' + write.key(), 1L, Long::sum);
        rows.put(write.key(), new StoredRow(write.table(), write.key(), version, write.value()));
    }
}
