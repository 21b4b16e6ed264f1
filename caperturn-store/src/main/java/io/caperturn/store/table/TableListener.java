package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import java.time.Instant;

/** Listener of a {@link TableWatcher} for the operators' table; called on the watcher's thread. */
public interface TableListener {
    /**
     * Receives a newer table.
     *
     * @param table the table, with a higher version than any received before
     */
    void onTable(Table table);

    /**
     * Receives the confirmation that the newest received table was current in the store.
     *
     * @param readSentAt the time at which the confirming read was sent to the store
     */
    void onConfirmed(Instant readSentAt);
}
