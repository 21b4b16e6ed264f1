package io.caperturn.sidecar.internal;

import io.caperturn.core.model.Table;
import io.caperturn.wire.Link;
import io.caperturn.wire.TableCodec;
import io.caperturn.wire.TableVersionExchange;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.TableRequest;
import io.caperturn.wire.message.TableRows;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Local copy of the operators' table (the weights and limits that operators set for kinds of tasks and for teams), and
 * the time at which the table store last confirmed that the copy has the current version.
 *
 * <p>A sidecar process does not read the table store. Each frame of an entry process carries the entry's table version
 * and the age of that version's last confirmation. A sidecar requests the rows of its upstream's kinds when the entry's
 * version is higher, and when the upstream starts to serve further kinds. The version never decreases.
 */
public final class TableReplica implements TableVersionExchange {
    /** Minimum time after which an unanswered request for rows is sent again. */
    private static final long REQUEST_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long UNKNOWN_AGE = -1;

    private volatile Table table = Table.EMPTY;
    private volatile Set<String> servedKinds = Set.of();
    private long confirmedAtNanoseconds;
    private boolean hasConfirmation;
    private long requestedAtNanoseconds;
    private boolean requestPending;
    /** True after the upstream starts to serve further kinds, until rows are received. */
    private volatile boolean rowsMissing;

    /**
     * Returns the table.
     *
     * @return the table, which contains only the rows of the kinds that the upstream serves
     */
    public Table table() {
        return table;
    }

    /**
     * Sets the kinds whose rows are needed.
     *
     * @param served the kinds that the upstream serves
     */
    public synchronized void setServedKinds(Set<String> served) {
        rowsMissing |= !servedKinds.containsAll(served) && table.version() > 0;
        servedKinds = Set.copyOf(served);
    }

    /**
     * Replaces the table, unless the version of the rows is lower than the present one.
     *
     * @param rows the rows and their version
     * @return true if the table was replaced
     */
    public synchronized boolean applyRows(TableRows rows) {
        requestPending = false;
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
        if (!hasConfirmation) {
            return UNKNOWN_AGE;
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - confirmedAtNanoseconds);
    }

    @Override
    public void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds) {
        boolean isRequestDue;
        synchronized (this) {
            recordConfirmation(confirmationAgeMilliseconds);
            isRequestDue = (tableVersion > table.version() || (rowsMissing && tableVersion == table.version()))
                    && tryBeginRequest();
        }
        if (isRequestDue) {
            // If the known version is 0, the entry sends the rows even of an unchanged table.
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(rowsMissing ? 0 : table.version())
                            .addAllKinds(servedKinds)));
        }
    }

    private void recordConfirmation(long ageMilliseconds) {
        if (ageMilliseconds < 0) {
            return;
        }
        long newConfirmedAtNanoseconds = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMilliseconds);
        if (!hasConfirmation || newConfirmedAtNanoseconds - confirmedAtNanoseconds > 0) {
            hasConfirmation = true;
            confirmedAtNanoseconds = newConfirmedAtNanoseconds;
        }
    }

    private boolean tryBeginRequest() {
        long nowNanoseconds = System.nanoTime();
        if (servedKinds.isEmpty()
                || (requestPending && nowNanoseconds - requestedAtNanoseconds < REQUEST_INTERVAL_NANOSECONDS)) {
            return false;
        }
        requestPending = true;
        requestedAtNanoseconds = nowNanoseconds;
        return true;
    }
}
