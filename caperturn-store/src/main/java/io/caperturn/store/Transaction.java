package io.caperturn.store;

import java.util.List;

/**
 * Reads and conditional writes that the store carries out as one.
 *
 * @param reads the rows to return, as they are after the writes
 * @param writes the conditional writes; all are applied or none
 */
public record Transaction(List<RowKey> reads, List<Write> writes) {
    /** Copies both lists. */
    public Transaction {
        reads = List.copyOf(reads);
        writes = List.copyOf(writes);
    }
}
