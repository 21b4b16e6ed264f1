package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.QueueWorker;
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
 * Watcher of the operators' table in the store, which holds weights and limits of kinds of work and of teams.
 *
 * <p>It polls the version of the whole table and reads the table whenever the version has risen. A poll that succeeds
 * confirms to the listener that it has the newest table. A version lower than one already passed to the listener is
 * neither passed on nor confirmed.
 */
public final class TableWatcher {
    private static final System.Logger LOGGER = System.getLogger(TableWatcher.class.getName());
    private static final int QUEUE_CAPACITY = 16;

    private final TableReader reader;
    private final TableListener listener;
    private final InstantSource clock = InstantSource.system();
    /** Polls at each interval, and once for all queued requests. A request's element, its time, is not used. */
    private final QueueWorker<Instant> pollThread;

    private long newestVersion;
    private boolean storeUnavailable;

    /**
     * Creates a watcher; {@link #start} starts its thread.
     *
     * @param store the store
     * @param interval the time between two polls
     * @param listener receiver of newer tables and confirmations
     */
    public TableWatcher(PlatformStore store, Duration interval, TableListener listener) {
        this.reader = new TableReader(store);
        this.listener = Objects.requireNonNull(listener, "listener");
        this.pollThread = new QueueWorker<>("table-watcher", QUEUE_CAPACITY, interval, new QueueWorker.Handler<>() {
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
        pollThread.start();
        requestPoll();
    }

    /** Stops the thread. */
    public void stop() {
        pollThread.stop();
    }

    /** Requests a poll as soon as possible; may be called from any thread. */
    public void requestPoll() {
        // If the queue is full, a poll that was requested earlier is still to come, so this one is not needed.
        pollThread.offer(clock.instant());
    }

    private void poll() {
        Instant sentAt = clock.instant();
        OptionalLong version = reader.readVersion();
        if (version.isEmpty()) {
            setStoreUnavailable(true, "table-version-unread");
            return;
        }
        setStoreUnavailable(false, "table-version-read");
        if (version.getAsLong() < newestVersion) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("table-version-lower")
                            .with("store", version.getAsLong())
                            .with("known", newestVersion)
                            .toString());
            return;
        }
        if (version.getAsLong() == newestVersion || readTable()) {
            listener.onConfirmed(sentAt);
        }
    }

    /** Reads the table; returns whether it was newer and passed to the listener. */
    private boolean readTable() {
        Optional<Table> table = reader.read();
        if (table.isEmpty() || table.get().version() <= newestVersion) {
            return false;
        }
        newestVersion = table.get().version();
        LOGGER.log(
                System.Logger.Level.INFO,
                EventLine.of("table-read")
                        .with("version", newestVersion)
                        .with("kinds", table.get().kinds().size())
                        .with("teams", table.get().teams().size())
                        .toString());
        listener.onTable(table.get());
        return true;
    }

    /** Records whether the store is unavailable, and logs the event if that has changed. */
    private void setStoreUnavailable(boolean isUnavailable, String event) {
        if (storeUnavailable != isUnavailable) {
            storeUnavailable = isUnavailable;
            LOGGER.log(System.Logger.Level.INFO, EventLine.of(event).toString());
        }
    }
}
