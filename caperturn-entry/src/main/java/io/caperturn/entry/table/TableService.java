package io.caperturn.entry.table;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.link.LinkService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.table.TableEditor;
import io.caperturn.store.table.TableListener;
import io.caperturn.store.table.TableWatcher;
import io.caperturn.wire.FrameStamp;
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
 * Service that holds the newest table known here, from the platform's store or from a peer.
 *
 * <p>The table never goes back to a lower version. Every frame tells the version in force and how fresh the store's
 * confirmation is, so any message shows a process that it is behind.
 */
public final class TableService implements Service, FrameStamp, TableListener {
    /** Name under which the service is found. */
    public static final ServiceName<TableService> NAME = new ServiceName<>("table", TableService.class);

    private static final System.Logger LOGGER = System.getLogger(TableService.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CUT_OFF_AFTER = Duration.ofSeconds(2);
    private static final Duration VISIT_INTERVAL = Duration.ofSeconds(1);

    private final PlatformStore store;
    private final Clock clock;
    private final AtomicReference<Table> table = new AtomicReference<>(Table.EMPTY);
    private final AtomicReference<Instant> confirmed = new AtomicReference<>(Instant.EPOCH);
    private final Map<ProcessId, Long> versionsHeard = new ConcurrentHashMap<>();
    private final AtomicReference<Instant> nextVisit = new AtomicReference<>(Instant.EPOCH);
    private volatile Instant confirmedHere = Instant.EPOCH;
    private Engine engine;
    private LinkService links;
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
        links = kernel.find(LinkService.NAME);
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
     * @return the newest table known, {@link Table#EMPTY} before any is
     */
    public Table table() {
        return table.get();
    }

    /**
     * Returns access to the table in the store, for edits.
     *
     * @return the editor
     */
    public TableEditor editor() {
        return new TableEditor(store);
    }

    /** Asks the store for the table soon, after an edit that this entry accepted. */
    public void refresh() {
        watcher.pollSoon();
    }

    /**
     * Takes a table that a peer sent.
     *
     * @param newer the table
     */
    public void heard(Table newer) {
        onTable(newer);
    }

    @Override
    public void onTable(Table newer) {
        Table before = table.getAndUpdate(held -> newer.version() > held.version() ? newer : held);
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
        confirmedHere = readSentAt;
        confirm(readSentAt);
    }

    private void confirm(Instant readSentAt) {
        confirmed.accumulateAndGet(readSentAt, (held, heard) -> heard.isAfter(held) ? heard : held);
    }

    @Override
    public long tableVersion() {
        return table.get().version();
    }

    @Override
    public long confirmationAgeMilliseconds() {
        Instant last = confirmed.get();
        return last.equals(Instant.EPOCH)
                ? -1
                : Math.max(0, Duration.between(last, clock.instant()).toMillis());
    }

    /**
     * Returns the version in force at each process that it was heard from.
     *
     * @return the versions by process
     */
    public Map<ProcessId, Long> versionsHeard() {
        return Map.copyOf(versionsHeard);
    }

    /**
     * Forgets a process whose link is closed.
     *
     * @param process the process
     */
    public void forget(ProcessId process) {
        versionsHeard.remove(process);
    }

    @Override
    public void observe(Link link, long tableVersion, long confirmationAgeMilliseconds) {
        versionsHeard.put(link.peer().process(), tableVersion);
        if (confirmationAgeMilliseconds >= 0) {
            confirm(clock.instant().minusMillis(confirmationAgeMilliseconds));
        }
        if (tableVersion > table.get().version()) {
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(table.get().version())));
            if (link.peer().role() == Role.ROLE_SIDECAR) {
                askElsewhere();
            }
        }
    }

    /** Turns to another entry where this one no longer reaches the store; a sidecar has only the rows it needs. */
    private void askElsewhere() {
        Instant now = clock.instant();
        Instant due = nextVisit.get();
        boolean cutOff = now.isAfter(confirmedHere.plus(CUT_OFF_AFTER));
        if (cutOff && !now.isBefore(due) && nextVisit.compareAndSet(due, now.plus(VISIT_INTERVAL))) {
            links.visitAnotherEntry();
        }
    }
}
