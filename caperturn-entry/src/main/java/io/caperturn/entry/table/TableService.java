package io.caperturn.entry.table;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.table.TableEditor;
import io.caperturn.store.table.TableListener;
import io.caperturn.store.table.TableWatcher;
import io.caperturn.wire.Link;
import io.caperturn.wire.TableVersionExchange;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Role;
import io.caperturn.wire.message.TableRequest;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Service that holds the newest version of the operators' table that this entry process has received from the
 * platform's store or from a linked process. The table holds the weights and limits that operators set for kinds of
 * tasks and for teams.
 *
 * <p>The table never returns to a lower version. Every frame (message on a link) carries the sender's table version and
 * confirmation age. By the version, the receiver sees whether its own is outdated. The confirmation age is the time
 * since the latest read of the table that the sender knows the store to have answered.
 */
public final class TableService implements Service, TableVersionExchange, TableListener {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<TableService> NAME = new ServiceName<>("table", TableService.class);

    private static final System.Logger LOGGER = System.getLogger(TableService.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    /** Time since this entry's last read of the store after which the store counts as unreachable. */
    private static final Duration STORE_UNREACHABLE_TIMEOUT = Duration.ofSeconds(2);
    /** Minimum interval at which this entry connects to other entries. */
    private static final Duration ENTRY_CONNECT_INTERVAL = Duration.ofSeconds(1);

    private final PlatformStore store;
    private final Clock clock;
    private final AtomicReference<Table> table = new AtomicReference<>(Table.EMPTY);
    /** Time at which the latest answered read was sent, by this entry or, as frames report, by another process. */
    private final AtomicReference<Instant> lastConfirmedAt = new AtomicReference<>(Instant.EPOCH);

    private final Map<ProcessId, Long> peerTableVersions = new ConcurrentHashMap<>();
    private final AtomicReference<Instant> nextEntryConnectAt = new AtomicReference<>(Instant.EPOCH);
    /** Time at which this entry sent its own latest answered read. */
    private volatile Instant lastStoreReadAt = Instant.EPOCH;

    private EntryEventLoop eventLoop;
    private EntryLinkService links;
    private TableWatcher watcher;

    /**
     * Creates the service.
     *
     * @param store the platform's store
     * @param clock source of time
     */
    public TableService(PlatformStore store, Clock clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void start(ServiceRegistry services) {
        eventLoop = services.find(EntryEventLoop.NAME);
        links = services.find(EntryLinkService.NAME);
        watcher = new TableWatcher(store, POLL_INTERVAL, this);
        watcher.start();
    }

    @Override
    public void stop() {
        watcher.stop();
    }

    /**
     * Returns the table in force.
     *
     * @return the newest table received, {@link Table#EMPTY} before the first
     */
    public Table table() {
        return table.get();
    }

    /**
     * Returns an editor of the table in the store.
     *
     * @return the editor
     */
    public TableEditor editor() {
        return new TableEditor(store);
    }

    /** Requests an early read of the table from the store, after an edit that this entry accepted. */
    public void requestStoreRead() {
        watcher.requestPoll();
    }

    /**
     * Receives a table from a linked process.
     *
     * @param received the table, ignored if its version is not newer
     */
    public void onTableReceived(Table received) {
        onTable(received);
    }

    @Override
    public void onTable(Table received) {
        Table previous = table.getAndUpdate(current -> received.version() > current.version() ? received : current);
        if (received.version() <= previous.version()) {
            return;
        }
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> EventLine.of("table-in-force")
                        .with("version", received.version())
                        .with("kinds", received.kinds().size())
                        .with("teams", received.teams().size())
                        .toString());
        eventLoop.put(new EntryEvent.TableChanged(received));
    }

    @Override
    public void onConfirmed(Instant readSentAt) {
        lastStoreReadAt = readSentAt;
        advanceLastConfirmedAt(readSentAt);
    }

    private void advanceLastConfirmedAt(Instant readSentAt) {
        lastConfirmedAt.accumulateAndGet(
                readSentAt, (current, candidate) -> candidate.isAfter(current) ? candidate : current);
    }

    @Override
    public long tableVersion() {
        return table.get().version();
    }

    @Override
    public long confirmationAgeMilliseconds() {
        Instant last = lastConfirmedAt.get();
        return last.equals(Instant.EPOCH)
                ? -1
                : Math.max(0, Duration.between(last, clock.instant()).toMillis());
    }

    /**
     * Returns the table versions that the linked processes have in force, as of their latest frames.
     *
     * @return the versions by process
     */
    public Map<ProcessId, Long> peerTableVersions() {
        return Map.copyOf(peerTableVersions);
    }

    /**
     * Removes the table version of a process whose link is closed.
     *
     * @param process the process
     */
    public void removePeer(ProcessId process) {
        peerTableVersions.remove(process);
    }

    @Override
    public void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds) {
        peerTableVersions.put(link.peer().process(), tableVersion);
        if (confirmationAgeMilliseconds >= 0) {
            advanceLastConfirmedAt(clock.instant().minusMillis(confirmationAgeMilliseconds));
        }
        if (tableVersion > table.get().version()) {
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(table.get().version())));
            if (link.peer().role() == Role.ROLE_SIDECAR) {
                connectToAnotherEntryIfStoreUnreachable();
            }
        }
    }

    /**
     * Connects to another entry for the newer table if this entry no longer reaches the store. The sidecar that
     * reported the newer version has only the rows that it needs.
     */
    private void connectToAnotherEntryIfStoreUnreachable() {
        Instant now = clock.instant();
        Instant connectDue = nextEntryConnectAt.get();
        boolean isStoreUnreachable = now.isAfter(lastStoreReadAt.plus(STORE_UNREACHABLE_TIMEOUT));
        if (isStoreUnreachable
                && !now.isBefore(connectDue)
                && nextEntryConnectAt.compareAndSet(connectDue, now.plus(ENTRY_CONNECT_INTERVAL))) {
            links.connectToAnotherEntry();
        }
    }
}
