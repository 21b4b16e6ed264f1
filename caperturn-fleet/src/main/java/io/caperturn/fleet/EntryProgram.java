package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.owner.EntryController;
import io.caperturn.jobs.owner.EntryHost;
import io.caperturn.jobs.owner.EntryParameters;
import io.caperturn.platform.CallerListener;
import io.caperturn.platform.ConfigurationFollower;
import io.caperturn.platform.PlatformSettings;
import io.caperturn.platform.StoreClient;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Process of an entry. */
final class EntryProgram implements LinkHub.Listener, EntryHost {
    /** Time after a request to end in which the balancer still sends connections: two misses, one a second. */
    private static final long BALANCER_MILLISECONDS = 2_400;
    /** Time kept for handing over what is left before the process is killed, in milliseconds. */
    private static final long HAND_OVER_MILLISECONDS = 1_200;
    /** Interval of the look whether all jobs are over, in milliseconds. */
    private static final long LOOK_MILLISECONDS = 25;
    /** Time for answers on their way before the process ends, in milliseconds. */
    private static final long LAST_ANSWERS_MILLISECONDS = 60;

    private final EventLoop network;
    private final ProcessLoop loop;
    private final PlatformSettings settings;
    private final StoreClient store;
    private final LinkHub hub;
    private final CountDownLatch ended = new CountDownLatch(1);
    private RoutingTable table;
    private String incarnation = "";
    private EntryController entry;

    EntryProgram(EventLoop network, ProcessLoop loop, PlatformSettings settings) {
        this.network = network;
        this.loop = loop;
        this.settings = settings;
        this.store = new StoreClient(network, settings.store());
        this.hub = new LinkHub(network, loop, this);
    }

    /** Starts everything; called on the loop, after the listeners are bound. */
    void start() {
        begin();
        new ConfigurationFollower(store, loop, this::configure).start();
    }

    /** Binds all addresses. */
    void listen() {
        hub.listen(settings.linkAddress());
        settings.callers().ifPresent(address -> CallerListener.listen(network, address, () -> entry, loop.log()));
        settings.readiness().ifPresent(address -> CallerListener.listenForBalancer(network, address, () -> entry));
    }

    private void begin() {
        incarnation = Main.incarnation(settings.node());
        String address = settings.linkAddress().getHostString() + ":"
                + settings.linkAddress().getPort();
        hub.identify(new JobFrame.Hello(ProcessRole.ENTRY, settings.node(), incarnation));
        entry = new EntryController(
                loop,
                store,
                hub,
                new EntryParameters(settings.node(), incarnation, address, settings.keepMilliseconds()),
                this);
        if (table != null) {
            entry.configure(table);
        }
        entry.start();
    }

    private void configure(RoutingTable news) {
        if (table == null || news.version() > table.version()) {
            table = news;
        }
        entry.configure(news);
    }

    /** Ends in good order; called on another thread, returns when the process may end. */
    void stop() {
        network.execute(() -> {
            entry.reportNotReady();
            long until = loop.monotonicMilliseconds() + settings.graceMilliseconds() - HAND_OVER_MILLISECONDS;
            loop.after(BALANCER_MILLISECONDS, () -> finish(until));
        });
        try {
            if (!ended.await(settings.graceMilliseconds(), TimeUnit.MILLISECONDS)) {
                loop.log().event(EventName.STOP_INCOMPLETE, EventKey.CAUSE, "grace-over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void finish(long until) {
        entry.refuseLongerJobs();
        if (entry.isIdle() || loop.monotonicMilliseconds() > until) {
            handOver();
        } else {
            loop.after(LOOK_MILLISECONDS, () -> finish(until));
        }
    }

    private void handOver() {
        entry.handOver(() -> loop.after(LAST_ANSWERS_MILLISECONDS, ended::countDown));
    }

    @Override
    public void linked(JobFrame.Hello peer) {
        entry.handleLinkOpened(peer);
    }

    @Override
    public void unlinked(JobFrame.Hello peer) {
        entry.handleLinkClosed(peer);
    }

    @Override
    public void received(JobFrame.Hello peer, JobFrame frame) {
        entry.handleFrame(peer, frame);
    }

    @Override
    public void connect(MemberRecord member) {
        if (member.role() == ProcessRole.ENTRY && settings.node().compareTo(member.node()) < 0) {
            hub.connect(member.address());
        }
    }

    @Override
    public void disconnect(MemberRecord member) {
        if (member.role() == ProcessRole.ENTRY) {
            hub.disconnect(member.address());
        }
    }

    @Override
    public void declaredLost() {
        loop.after(0, this::begin);
    }
}
