package io.caperturn.store;

import java.util.List;

/**
 * Reads and conditional writes that the store executes atomically.
 *
 * @param reads the keys of the rows to return as they are after the writes
 * @param writes the conditional writes; either all or none are applied
 */
public record Transaction(List<RowKey> reads, List<Write> writes) {
    /** Copies both lists. */
    public Transaction {
        reads = List.copyOf(reads);
        writes = List.copyOf(writes);
    }
}
