package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.EventLine;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.internal.TableReader;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Watcher of the table's version in the store, which reads the rows whenever the version is higher.
 *
 * <p>A version that is lower than one already handed over is neither handed over nor confirmed.
 */
public final class TableWatcher {
    private static final System.Logger LOGGER = System.getLogger(TableWatcher.class.getName());
    private static final int RING_CAPACITY = 16;

    private final TableReader reader;
    private final TableListener listener;
    private final InstantSource clock = InstantSource.system();
    private final QueueWorker<Instant> duty;
    private long newest;
    private boolean silent;

    /**
     * Creates a watcher; {@link #start} starts its thread.
     *
     * @param store the store
     * @param interval time between two polls
     * @param listener receives what is learnt
     */
    public TableWatcher(PlatformStore store, Duration interval, TableListener listener) {
        this.reader = new TableReader(store);
        this.listener = Objects.requireNonNull(listener, "listener");
        this.duty = new QueueWorker<>("table-watcher", RING_CAPACITY, interval, new QueueWorker.Handler<>() {
            @Override
            public void onBatch(List<Instant> batch) {
                poll();
            }

            @Override
            public void onInterval() {
                poll();
            }
        });
    }

    /** Starts the thread and polls at once. */
    public void start() {
        duty.start();
        pollSoon();
    }

    /** Stops the thread. */
    public void stop() {
        duty.stop();
    }

    /** Polls without waiting for the interval; from any thread. */
    public void pollSoon() {
        // A full ring holds polls that are still to come, so nothing is lost if this one does not fit.
        duty.offer(clock.instant());
    }

    private void poll() {
        Instant sentAt = clock.instant();
        OptionalLong version = reader.version();
        if (version.isEmpty()) {
            notice(true, "table-version-unread");
            return;
        }
        notice(false, "table-version-read");
        if (version.getAsLong() < newest) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("table-version-lower")
                            .with("store", version.getAsLong())
                            .with("known", newest)
                            .toString());
            return;
        }
        if (version.getAsLong() == newest || load()) {
            listener.onConfirmed(sentAt);
        }
    }

    private boolean load() {
        Optional<Table> table = reader.read();
        if (table.isEmpty() || table.get().version() <= newest) {
            return false;
        }
        newest = table.get().version();
        LOGGER.log(
                System.Logger.Level.INFO,
                EventLine.of("table-read")
                        .with("version", newest)
                        .with("kinds", table.get().kinds().size())
                        .with("teams", table.get().teams().size())
                        .toString());
        listener.onTable(table.get());
        return true;
    }

    /** Logs when the store falls silent or answers again, not each poll. */
    private void notice(boolean isSilent, String event) {
        if (silent != isSilent) {
            silent = isSilent;
            LOGGER.log(System.Logger.Level.INFO, EventLine.of(event).toString());
        }
    }
}
