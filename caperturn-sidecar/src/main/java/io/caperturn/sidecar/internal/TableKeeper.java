package io.caperturn.sidecar.internal;

import io.caperturn.core.model.Table;
import io.caperturn.wire.FrameStamp;
import io.caperturn.wire.Link;
import io.caperturn.wire.TableCodec;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.TableRequest;
import io.caperturn.wire.message.TableRows;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The table in force here and how fresh the system knows it to be.
 *
 * <p>A sidecar has no way to the store of its own: both come with the frames of others. A frame that shows a higher
 * version makes this process ask for the rows of its upstream's kinds, and so do kinds that the upstream serves anew.
 * The version never goes down.
 */
public final class TableKeeper implements FrameStamp {
    private static final long REQUEST_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long UNKNOWN_AGE = -1;

    private volatile Table table = Table.EMPTY;
    private volatile Set<String> kinds = Set.of();
    private long confirmedAtNanoseconds;
    private boolean confirmed;
    private long requestedAtNanoseconds;
    private boolean requested;
    private volatile boolean rowsMissing;

    /**
     * Returns the table in force.
     *
     * @return the table, with the rows of the upstream's kinds
     */
    public Table table() {
        return table;
    }

    /**
     * Takes note of the kinds whose rows are needed.
     *
     * @param served the kinds that the upstream serves
     */
    public synchronized void serve(Set<String> served) {
        rowsMissing |= !kinds.containsAll(served) && table.version() > 0;
        kinds = Set.copyOf(served);
    }

    /**
     * Takes rows in, unless a higher version is in force.
     *
     * @param rows the rows
     * @return true if they are in force now
     */
    public synchronized boolean accept(TableRows rows) {
        requested = false;
        if (rows.getVersion() < table.version()) {
            return false;
        }
        table = TableCodec.fromMessage(rows);
        rowsMissing = false;
        return true;
    }

    @Override
    public long tableVersion() {
        return table.version();
    }

    @Override
    public synchronized long confirmationAgeMilliseconds() {
        if (!confirmed) {
            return UNKNOWN_AGE;
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedAtNanoseconds);
    }

    @Override
    public void observe(Link link, long tableVersion, long confirmationAgeMilliseconds) {
        boolean ask;
        synchronized (this) {
            noteConfirmation(confirmationAgeMilliseconds);
            ask = (tableVersion > table.version() || (rowsMissing && tableVersion == table.version())) && mayRequest();
        }
        if (ask) {
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(rowsMissing ? 0 : table.version())
                            .addAllKinds(kinds)));
        }
    }

    private void noteConfirmation(long ageMilliseconds) {
        if (ageMilliseconds < 0) {
            return;
        }
        long at = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMilliseconds);
        if (!confirmed || at - confirmedAtNanoseconds > 0) {
            confirmed = true;
            confirmedAtNanoseconds = at;
        }
    }

    private boolean mayRequest() {
        long now = System.nanoTime();
        if (kinds.isEmpty() || (requested && now - requestedAtNanoseconds < REQUEST_INTERVAL_NANOSECONDS)) {
            return false;
        }
        requested = true;
        requestedAtNanoseconds = now;
        return true;
    }
}
