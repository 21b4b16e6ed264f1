package io.caperturn.store.internal;

import io.caperturn.store.Row;
import io.caperturn.store.RowKey;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import java.util.List;
import java.util.Optional;

/** Message of the platform's table service, in the shapes of its HTTP protocol. */
public sealed interface StoreMessage {
    /**
     * Body of {@code POST /v1/transact}.
     *
     * @param reads the rows to return
     * @param writes the conditional writes
     */
    record TransactRequest(List<KeyValue> reads, List<WriteValue> writes) implements StoreMessage {
        /** Copies both lists. */
        public TransactRequest {
            reads = List.copyOf(reads);
            writes = List.copyOf(writes);
        }

        /**
         * Turns a transaction into its message.
         *
         * @param transaction the transaction
         * @return the message
         */
        public static TransactRequest of(Transaction transaction) {
            return new TransactRequest(
                    transaction.reads().stream()
                            .map(key -> new KeyValue(key.table(), key.key()))
                            .toList(),
                    transaction.writes().stream().map(WriteValue::of).toList());
        }
    }

    /**
     * Body of every answer with rows.
     *
     * @param rows the rows
     */
    record RowsReply(List<RowValue> rows) implements StoreMessage {
        /** Checks that the rows are present, and copies them. */
        public RowsReply {
            rows = List.copyOf(rows);
        }

        /**
         * Returns the rows in the words of the interface.
         *
         * @return the rows
         */
        public List<Row> toRows() {
            return rows.stream().map(RowValue::toRow).toList();
        }
    }

    /**
     * Place of a row.
     *
     * @param table the table's name
     * @param key the row's key
     */
    record KeyValue(String table, String key) implements StoreMessage {}

    /**
     * One conditional write.
     *
     * @param table the table's name
     * @param key the row's key
     * @param expectedVersion the version that the row must have
     * @param value the new value, null to delete
     */
    record WriteValue(String table, String key, long expectedVersion, String value) implements StoreMessage {
        private static WriteValue of(Write write) {
            return new WriteValue(
                    write.key().table(),
                    write.key().key(),
                    write.expectedVersion(),
                    write.value().orElse(null));
        }
    }

    /**
     * One row.
     *
     * @param table the table's name
     * @param key the row's key
     * @param version the row's version
     * @param value the row's value, null if it does not exist
     */
    record RowValue(String table, String key, long version, String value) implements StoreMessage {
        private Row toRow() {
            return new Row(new RowKey(table, key), version, Optional.ofNullable(value));
        }
    }
}
