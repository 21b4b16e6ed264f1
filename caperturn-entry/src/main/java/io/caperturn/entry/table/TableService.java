package io.caperturn.entry.table;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.table.TableEditor;
import io.caperturn.store.table.TableListener;
import io.caperturn.store.table.TableWatcher;
import io.caperturn.wire.TableVersionExchange;
import io.caperturn.wire.Link;
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
 * Service that holds the newest version of the table that this entry has received, from the platform's store or from a
 * peer.
 *
 * <p>The table never returns to a lower version. Every frame carries the sender's table version and the age of the
 * store's last confirmation of it, so that a process learns from any frame that its own table is out of date.
 */
public final class TableService implements Service, TableVersionExchange, TableListener {
    /** Name under which the service is registered in the {@link ServiceRegistry}. */
    public static final ServiceName<TableService> NAME = new ServiceName<>("table", TableService.class);

    private static final System.Logger LOGGER = System.getLogger(TableService.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration STORE_UNREACHABLE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PEER_CONNECT_INTERVAL = Duration.ofSeconds(1);

    private final PlatformStore store;
    private final Clock clock;
    private final AtomicReference<Table> table = new AtomicReference<>(Table.EMPTY);
    private final AtomicReference<Instant> lastConfirmedAt = new AtomicReference<>(Instant.EPOCH);
    private final Map<ProcessId, Long> peerTableVersions = new ConcurrentHashMap<>();
    private final AtomicReference<Instant> nextPeerConnectAt = new AtomicReference<>(Instant.EPOCH);
    private volatile Instant lastStoreReadAt = Instant.EPOCH;
    private Engine engine;
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
    public void start(ServiceRegistry kernel) {
        engine = kernel.find(Engine.NAME);
        links = kernel.find(EntryLinkService.NAME);
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
    public void refresh() {
        watcher.requestPoll();
    }

    /**
     * Receives a table from a peer.
     *
     * @param newer the table, ignored if its version is not newer
     */
    public void onTableReceived(Table newer) {
        onTable(newer);
    }

    @Override
    public void onTable(Table newer) {
        Table before = table.getAndUpdate(current -> newer.version() > current.version() ? newer : current);
        if (newer.version() <= before.version()) {
            return;
        }
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> EventLine.of("table-in-force")
                        .with("version", newer.version())
                        .with("kinds", newer.kinds().size())
                        .with("teams", newer.teams().size())
                        .toString());
        engine.put(new EntryEvent.TableChanged(newer));
    }

    @Override
    public void onConfirmed(Instant readSentAt) {
        lastStoreReadAt = readSentAt;
        advanceConfirmation(readSentAt);
    }

    private void advanceConfirmation(Instant readSentAt) {
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
            advanceConfirmation(clock.instant().minusMillis(confirmationAgeMilliseconds));
        }
        if (tableVersion > table.get().version()) {
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(table.get().version())));
            if (link.peer().role() == Role.ROLE_SIDECAR) {
                connectToAnotherEntryIfCutOff();
            }
        }
    }

    /**
     * Connects to another entry, which may have the newer table, if this entry no longer reaches the store; the sidecar
     * that reported the newer version holds only the rows that it needs.
     */
    private void connectToAnotherEntryIfCutOff() {
        Instant now = clock.instant();
        Instant due = nextPeerConnectAt.get();
        boolean cutOff = now.isAfter(lastStoreReadAt.plus(STORE_UNREACHABLE_TIMEOUT));
        if (cutOff && !now.isBefore(due) && nextPeerConnectAt.compareAndSet(due, now.plus(PEER_CONNECT_INTERVAL))) {
            links.connectToAnotherEntry();
        }
    }
}
