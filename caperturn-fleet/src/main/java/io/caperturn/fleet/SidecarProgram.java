package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.owner.ProcessRegistration;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import io.caperturn.jobs.upstream.SidecarController;
import io.caperturn.jobs.upstream.SidecarTimings;
import io.caperturn.platform.AnnouncementListener;
import io.caperturn.platform.ExecutorClient;
import io.caperturn.platform.PlatformSettings;
import io.caperturn.platform.StoreClient;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** Process of a sidecar. */
final class SidecarProgram implements LinkHub.Listener, TableFollower.Listener {
    /** Longest time for running tasks to end after a request to end, in milliseconds; the grace is six seconds. */
    private static final long LAST_RUNS_MILLISECONDS = 4_500;
    /** Interval of the look whether all has ended, in milliseconds. */
    private static final long LOOK_MILLISECONDS = 20;

    /** Interval of the look whether the upstream has begun a new life, in milliseconds. */
    private static final long UPSTREAM_LOOK_MILLISECONDS = 500;

    private final EventLoop network;
    private final ProcessLoop loop;
    private final PlatformSettings settings;
    private final StoreClient store;
    private final LinkHub hub;
    private final SidecarController sidecar;
    private final String incarnation;
    private final Map<String, String> addresses = new HashMap<>();
    private Optional<UpstreamIncarnation> recorded = Optional.empty();
    private final CountDownLatch ended = new CountDownLatch(1);

    SidecarProgram(EventLoop network, ProcessLoop loop, PlatformSettings settings, InetSocketAddress upstream) {
        this.network = network;
        this.loop = loop;
        this.settings = settings;
        this.store = new StoreClient(network, settings.store());
        this.hub = new LinkHub(network, loop, this);
        SidecarTimings times = SidecarTimings.forLease(settings.leaseMilliseconds());
        ExecutorClient executor = new ExecutorClient(network, upstream, times.answerMilliseconds());
        this.sidecar = new SidecarController(loop, executor, hub, times);
        this.incarnation = Main.incarnation(settings.node());
    }

    /** Binds all addresses. */
    void listen() {
        settings.announcements()
                .ifPresent(address -> AnnouncementListener.listen(network, address, sidecar, loop.log()));
    }

    /** Starts everything; called on the loop. */
    void start() {
        hub.identify(new JobFrame.Hello(ProcessRole.SIDECAR, settings.node(), incarnation));
        register(sidecar::setRegistration);
        sidecar.start();
        loop.after(UPSTREAM_LOOK_MILLISECONDS, this::lookAtUpstream);
        new TableFollower(store, loop, ProcessRegistration.MEMBER_TABLE, this).start();
    }

    private void register(LongConsumer registered) {
        new ProcessRegistration(store, loop, settings.node(), this::entry, registered).start();
    }

    /** Works out this sidecar's entry; what an earlier life knew of the upstream stays in it until more is known. */
    private MemberRecord entry(Optional<MemberRecord> before) {
        Optional<UpstreamIncarnation> earlier = before.flatMap(MemberRecord::upstream);
        earlier.ifPresent(sidecar::restoreUpstream);
        recorded = sidecar.upstream().or(() -> earlier);
        return new MemberRecord(ProcessRole.SIDECAR, settings.node(), incarnation, "", recorded);
    }

    /** Enters what is known of the upstream once it has begun a new life. */
    private void lookAtUpstream() {
        if (sidecar.upstream().isPresent() && !sidecar.upstream().equals(recorded)) {
            recorded = sidecar.upstream();
            // The fencing number stays: raising it would have every order under way refused.
            register(version -> {});
        }
        loop.after(UPSTREAM_LOOK_MILLISECONDS, this::lookAtUpstream);
    }

    /** Ends in good order; called on another thread, returns when the process may end. */
    void stop() {
        network.execute(() -> {
            loop.log().event(EventName.LEAVING);
            sidecar.leave();
            look(loop.monotonicMilliseconds() + LAST_RUNS_MILLISECONDS);
        });
        try {
            if (!ended.await(settings.graceMilliseconds(), TimeUnit.MILLISECONDS)) {
                loop.log().event(EventName.STOP_INCOMPLETE, EventKey.CAUSE, "grace-over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look(long until) {
        if (sidecar.isIdle() || loop.monotonicMilliseconds() > until) {
            ended.countDown();
        } else {
            loop.after(LOOK_MILLISECONDS, () -> look(until));
        }
    }

    @Override
    public void linked(JobFrame.Hello peer) {
        sidecar.handleLinkOpened(peer.incarnation());
    }

    @Override
    public void unlinked(JobFrame.Hello peer) {
        sidecar.handleLinkClosed(peer.incarnation());
    }

    @Override
    public void received(JobFrame.Hello peer, JobFrame frame) {
        sidecar.handleFrame(peer.incarnation(), frame);
    }

    @Override
    public void changed(StoredRecord stored) {
        try {
            MemberRecord member = MemberRecord.of(stored.value());
            if (member.role() == ProcessRole.ENTRY) {
                String before = addresses.put(stored.key().name(), member.address());
                if (before != null && !before.equals(member.address())) {
                    hub.disconnect(before);
                }
                hub.connect(member.address());
            }
        } catch (IOException e) {
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.MEMBER,
                            stored.key().name(),
                            EventKey.REASON,
                            e.getMessage());
        }
    }

    @Override
    public void removed(String name) {
        String address = addresses.remove(name);
        if (address != null) {
            hub.disconnect(address);
        }
        if (name.equals(settings.node())) {
            loop.log().event(EventName.REGISTRATION_LOST, EventKey.NODE, name);
            register(sidecar::setRegistration);
        }
    }
}
