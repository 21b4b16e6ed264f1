package io.caperturn.store.internal;

import io.caperturn.store.RowKey;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import java.util.List;
import java.util.Optional;

/** JSON message of the HTTP protocol of the platform's table service. */
public sealed interface StoreHttpMessage {
    /**
     * Body of {@code POST /v1/transact}.
     *
     * @param reads the keys of the rows to return
     * @param writes the conditional writes
     */
    record TransactRequest(List<KeyMessage> reads, List<WriteMessage> writes) implements StoreHttpMessage {
        /** Copies both lists. */
        public TransactRequest {
            reads = List.copyOf(reads);
            writes = List.copyOf(writes);
        }

        /**
         * Creates the message for a transaction.
         *
         * @param transaction the transaction
         * @return the message
         */
        public static TransactRequest of(Transaction transaction) {
            return new TransactRequest(
                    transaction.reads().stream()
                            .map(key -> new KeyMessage(key.table(), key.key()))
                            .toList(),
                    transaction.writes().stream().map(WriteMessage::of).toList());
        }
    }

    /**
     * Body of every reply that contains rows.
     *
     * @param rows the rows
     */
    record RowsReply(List<RowMessage> rows) implements StoreHttpMessage {
        /** Checks that the rows are not null, and copies them. */
        public RowsReply {
            rows = List.copyOf(rows);
        }

        /**
         * Converts the rows of the message to rows of the store interface.
         *
         * @return the rows
         */
        public List<StoreRow> toRows() {
            return rows.stream().map(RowMessage::toRow).toList();
        }
    }

    /**
     * Key of a row.
     *
     * @param table the table's name
     * @param key the row's key
     */
    record KeyMessage(String table, String key) implements StoreHttpMessage {}

    /**
     * Conditional write of one row.
     *
     * @param table the table's name
     * @param key the row's key
     * @param expectedVersion the version that the row must have; 0 if it must not exist
     * @param value the new value as JSON text; null to delete the row
     */
    record WriteMessage(String table, String key, long expectedVersion, String value) implements StoreHttpMessage {
        private static WriteMessage of(Write write) {
            return new WriteMessage(
                    write.key().table(),
                    write.key().key(),
                    write.expectedVersion(),
                    write.value().orElse(null));
        }
    }

    /**
     * Row with its version and value.
     *
     * @param table the table's name
     * @param key the row's key
     * @param version the row's version
     * @param value the row's value as JSON text; null if the row does not exist
     */
    record RowMessage(String table, String key, long version, String value) implements StoreHttpMessage {
        private StoreRow toRow() {
            return new StoreRow(new RowKey(table, key), version, Optional.ofNullable(value));
        }
    }
}
