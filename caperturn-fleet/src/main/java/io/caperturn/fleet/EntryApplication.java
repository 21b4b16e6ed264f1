package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.owner.EntryController;
import io.caperturn.jobs.owner.EntryDrain;
import io.caperturn.jobs.owner.EntryHost;
import io.caperturn.jobs.owner.EntryParameters;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.platform.ConfigurationFollower;
import io.caperturn.platform.JobApiListener;
import io.caperturn.platform.MetricsListener;
import io.caperturn.platform.PlatformSettings;
import io.caperturn.platform.StoreClient;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Application of an entry, the process that accepts jobs.
 *
 * <p>It connects the {@link EntryController}, which makes the decisions, to callers, the store, and the links
 * (connections) to other processes, whose member records in the store hold their addresses. When other entries have
 * declared this one lost, the process continues with a new controller under a new incarnation (identity).
 */
final class EntryApplication implements LinkManager.Listener, EntryHost {
    /** Time for the last responses to reach their callers before the process exits, in milliseconds. */
    private static final long RESPONSE_FLUSH_MILLISECONDS = 60;

    private final EventLoop eventLoop;
    private final ProcessLoop loop;
    private final PlatformSettings settings;
    private final StoreClient store;
    private final StoreRetryBudget retries;
    private final LinkManager links;
    private final CountDownLatch stopped = new CountDownLatch(1);
    /** Latest assignment of jobs to queues; null until the configuration has been read. */
    private RoutingTable routingTable;

    private final ZoneEvacuations evacuations;
    private String incarnation = "";
    private EntryController entry;

    EntryApplication(EventLoop eventLoop, ProcessLoop loop, PlatformSettings settings) {
        this.eventLoop = eventLoop;
        this.loop = loop;
        this.settings = settings;
        this.evacuations = new ZoneEvacuations(loop);
        this.store = new StoreClient(eventLoop, settings.store(), loop.log());
        this.retries = new StoreRetryBudget(loop, Main.newIncarnation(settings.node()));
        this.links = new LinkManager(eventLoop, loop, this);
    }

    /** Starts the entry and follows the configuration; called on the event loop, before {@link #listen}. */
    void start() {
        startEntry();
        new ConfigurationFollower(store, loop, this::configure, evacuations::update, retries).start();
    }

    /** Listens on the addresses for links, callers and readiness probes. */
    void listen() {
        links.listen(settings.linkAddress());
        settings.callers().ifPresent(address -> JobApiListener.listen(eventLoop, address, () -> entry, loop.log()));
        settings.readiness()
                .ifPresent(address -> JobApiListener.listenForReadinessProbes(eventLoop, address, () -> entry));
    }

    /** Listens for requests for metrics and for explanations of placements. */
    void listenForMetrics(InetSocketAddress address, Supplier<String> metrics) {
        MetricsListener.listenAtEntry(eventLoop, address, metrics, () -> entry);
    }

    private void startEntry() {
        incarnation = Main.newIncarnation(settings.node());
        String address = settings.linkAddress().getHostString() + ":"
                + settings.linkAddress().getPort();
        links.setIdentity(new JobFrame.Hello(ProcessRole.ENTRY, settings.node(), incarnation, settings.zone()));
        entry = new EntryController(
                loop,
                store,
                retries,
                links,
                new EntryParameters(settings.node(), incarnation, address, settings.keepMilliseconds()),
                this,
                evacuations);
        if (routingTable != null) {
            entry.configure(routingTable);
        }
        entry.start();
    }

    private void configure(RoutingTable newRoutingTable) {
        if (routingTable == null || newRoutingTable.version() > routingTable.version()) {
            routingTable = newRoutingTable;
        }
        entry.configure(newRoutingTable);
    }

    /**
     * Shuts down gracefully: finishes the jobs that it can and leaves the stored ones to the other entries.
     *
     * <p>Called on a thread other than that of the event loop; returns once the process may exit, at the latest after
     * the grace period.
     */
    void stop() {
        eventLoop.execute(() -> {
            Runnable exit = () -> loop.after(RESPONSE_FLUSH_MILLISECONDS, stopped::countDown);
            new EntryDrain(loop, entry, settings.graceMilliseconds(), exit).start();
        });
        try {
            if (!stopped.await(settings.graceMilliseconds(), TimeUnit.MILLISECONDS)) {
                loop.log().event(EventName.STOP_INCOMPLETE, EventKey.CAUSE, "grace-over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void linkOpened(JobFrame.Hello peer) {
        entry.handleLinkOpened(peer);
    }

    @Override
    public void linkLost(JobFrame.Hello peer) {
        entry.handleLinkClosed(peer);
    }

    @Override
    public void frameReceived(JobFrame.Hello peer, JobFrame frame) {
        entry.handleFrame(peer, frame);
    }

    @Override
    public void connect(MemberRecord member) {
        // Of two entries, only the one whose node name comes first opens the link; sidecars open theirs themselves.
        if (member.role() == ProcessRole.ENTRY && settings.node().compareTo(member.node()) < 0) {
            links.connect(member.address());
        }
    }

    @Override
    public void disconnect(MemberRecord member) {
        if (member.role() == ProcessRole.ENTRY) {
            links.disconnect(member.address());
        }
    }

    @Override
    public void handleDeclaredLost() {
        // Runs after the present controller, which calls this method, has returned.
        loop.after(0, this::startEntry);
    }
}
