package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import java.time.Instant;

/** Receiver of what a {@link TableWatcher} learns; called on the watcher's thread. */
public interface TableListener {
    /**
     * Hands over a newer table.
     *
     * @param table the table, of a higher version than any handed over before
     */
    void onTable(Table table);

    /**
     * Says that the newest table handed over was the one in force.
     *
     * @param readSentAt when the read that found this was sent
     */
    void onConfirmed(Instant readSentAt);
}
