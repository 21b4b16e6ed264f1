package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.owner.ProcessRegistration;
import io.caperturn.jobs.record.FollowPace;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import io.caperturn.jobs.upstream.SidecarController;
import io.caperturn.jobs.upstream.SidecarTimings;
import io.caperturn.jobs.zone.EvacuatedZones;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import io.caperturn.platform.AnnouncementListener;
import io.caperturn.platform.EvacuationFollower;
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

/**
 * Application of a sidecar, the process that starts tasks at one upstream (a process that runs them).
 *
 * <p>It connects the {@link SidecarController}, which makes the decisions, to the upstream, the store and the entries,
 * the processes that accept jobs. A link is a connection to an entry. A member record registers an entry or a sidecar
 * in the store.
 */
final class SidecarApplication implements LinkManager.Listener, TableFollower.Listener {
    /**
     * Maximum time for running tasks to finish after a stop request, in milliseconds; the grace period, after which the
     * process is killed, is six seconds.
     */
    private static final long DRAIN_TIMEOUT_MILLISECONDS = 4_500;
    /** Interval of the check whether all tasks are finished, in milliseconds. */
    private static final long IDLE_CHECK_INTERVAL_MILLISECONDS = 20;

    /** Interval of the check whether the upstream has restarted or changed its description, in milliseconds. */
    private static final long UPSTREAM_CHECK_INTERVAL_MILLISECONDS = 500;

    /**
     * Longest pause in which changes of the member records are gathered, in milliseconds: only the addresses of entries
     * are taken from them, and the first change after a quiet time comes without a pause.
     */
    private static final long LONGEST_FOLLOW_PAUSE_MILLISECONDS = 500;
    /**
     * Time after which the store answers without a change of the member records, in milliseconds. A lost call costs
     * this time, the time-out of a call and the delay before a retry; together they stay below the time for which a
     * machine counts as out of touch.
     */
    private static final long FOLLOW_WAIT_MILLISECONDS = 1_000;

    private final EventLoop eventLoop;
    private final ProcessLoop loop;
    private final PlatformSettings settings;
    private final StoreClient store;
    private final StoreRetryBudget retries;
    private final LinkManager links;
    private final ZoneEvacuations evacuations;
    private final SidecarController sidecar;
    /** Identity of this start of the sidecar. */
    private final String incarnation;
    /** Link addresses of the entries, by the key of their member record. */
    private final Map<String, String> entryAddresses = new HashMap<>();

    /** Description of the upstream in this sidecar's member record. */
    private Optional<UpstreamIncarnation> registeredUpstream = Optional.empty();

    private final CountDownLatch stopped = new CountDownLatch(1);

    SidecarApplication(EventLoop eventLoop, ProcessLoop loop, PlatformSettings settings, InetSocketAddress upstream) {
        this.eventLoop = eventLoop;
        this.loop = loop;
        this.settings = settings;
        this.store = new StoreClient(eventLoop, settings.store(), loop.log());
        this.links = new LinkManager(eventLoop, loop, this);
        SidecarTimings timings = SidecarTimings.forLease(settings.leaseMilliseconds());
        ExecutorClient executor = new ExecutorClient(eventLoop, upstream, loop.log());
        this.evacuations = new ZoneEvacuations(loop);
        ZoneStartGate zoneGate = new ZoneStartGate(evacuations, settings.zone());
        this.sidecar = new SidecarController(loop, executor, links, timings, settings.node(), zoneGate);
        this.incarnation = Main.newIncarnation(settings.node());
        this.retries = new StoreRetryBudget(loop, incarnation);
    }

    /** Listens on the address for announcements of the upstream. */
    void listen() {
        settings.announcements()
                .ifPresent(address -> AnnouncementListener.listen(eventLoop, address, sidecar, loop.log()));
    }

    /** Registers the sidecar and follows the member records; called on the event loop. */
    void start() {
        links.setIdentity(new JobFrame.Hello(ProcessRole.SIDECAR, settings.node(), incarnation, settings.zone()));
        followEvacuations();
        register(sidecar::setRegistration);
        sidecar.start();
        loop.after(UPSTREAM_CHECK_INTERVAL_MILLISECONDS, this::checkUpstream);
        FollowPace pace = FollowPace.gathering(LONGEST_FOLLOW_PAUSE_MILLISECONDS, FOLLOW_WAIT_MILLISECONDS);
        new TableFollower(store, loop, ProcessRegistration.MEMBER_TABLE, this, pace, retries).start();
    }

    /** Follows the evacuated zones if the settings call for it; otherwise no evacuation applies to this sidecar. */
    private void followEvacuations() {
        if (settings.zone().isEmpty()) {
            loop.log().event(EventName.ZONE_UNKNOWN, EventKey.EFFECT, "no-evacuation-applies");
        }
        if (settings.zone().isEmpty() || settings.evacuationMilliseconds() == 0) {
            evacuations.update(EvacuatedZones.NONE);
            return;
        }
        new EvacuationFollower(store, loop, this::updateEvacuations, retries).start();
    }

    private void updateEvacuations(EvacuatedZones zones) {
        evacuations.update(zones);
        sidecar.handleEvacuationChange();
    }

    /** Writes this sidecar's member record; {@code registered} receives the version of the stored record. */
    private void register(LongConsumer registered) {
        new ProcessRegistration(store, loop, settings.node(), this::createRecord, registered, retries).start();
    }

    /**
     * Returns this sidecar's new member record, with the upstream of the {@code previous} one until the upstream
     * announces itself; without an upstream while it is leaving.
     */
    private MemberRecord createRecord(Optional<MemberRecord> previous) {
        Optional<UpstreamIncarnation> earlier = previous.flatMap(MemberRecord::upstream);
        earlier.ifPresent(sidecar::restoreUpstream);
        registeredUpstream = sidecar.upstreamToStore(earlier);
        // The address is empty, because a sidecar accepts no links.
        return new MemberRecord(
                ProcessRole.SIDECAR, settings.node(), incarnation, "", settings.zone(), registeredUpstream);
    }

    /** Registers the upstream again if its description differs from the registered one. */
    private void checkUpstream() {
        Optional<UpstreamIncarnation> current = sidecar.upstreamToStore(registeredUpstream);
        if (!current.equals(registeredUpstream)) {
            registeredUpstream = current;
            // The fencing token of orders, the version last passed to setRegistration, stays the same: after an order
            // with a higher one, the upstream would refuse every order in flight.
            register(version -> {});
        }
        loop.after(UPSTREAM_CHECK_INTERVAL_MILLISECONDS, this::checkUpstream);
    }

    /**
     * Shuts down gracefully: accepts no new tasks, returns waiting ones to their entries and waits for running ones.
     *
     * <p>Called on a thread other than that of the event loop; returns once the process may exit, at the latest after
     * the grace period.
     */
    void stop() {
        eventLoop.execute(() -> {
            loop.log().event(EventName.LEAVING);
            sidecar.leave();
            awaitIdle(loop.monotonicMilliseconds() + DRAIN_TIMEOUT_MILLISECONDS);
        });
        try {
            if (!stopped.await(settings.graceMilliseconds(), TimeUnit.MILLISECONDS)) {
                loop.log().event(EventName.STOP_INCOMPLETE, EventKey.CAUSE, "grace-over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitIdle(long deadlineMilliseconds) {
        if (sidecar.isIdle() || loop.monotonicMilliseconds() > deadlineMilliseconds) {
            stopped.countDown();
        } else {
            loop.after(IDLE_CHECK_INTERVAL_MILLISECONDS, () -> awaitIdle(deadlineMilliseconds));
        }
    }

    @Override
    public void linkOpened(JobFrame.Hello peer) {
        sidecar.handleLinkOpened(peer.incarnation());
    }

    @Override
    public void linkLost(JobFrame.Hello peer) {
        sidecar.handleLinkClosed(peer.incarnation());
    }

    @Override
    public void frameReceived(JobFrame.Hello peer, JobFrame frame) {
        sidecar.handleFrame(peer.incarnation(), frame);
    }

    @Override
    public void handleChange(StoredRecord stored) {
        try {
            MemberRecord member = MemberRecord.decode(stored.key().name(), stored.value());
            if (member.role() == ProcessRole.ENTRY) {
                String previous = entryAddresses.put(stored.key().name(), member.address());
                if (previous != null && !previous.equals(member.address())) {
                    links.disconnect(previous);
                }
                links.connect(member.address());
            }
        } catch (IOException e) {
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.MEMBER,
                            stored.key().name(),
                            EventKey.REASON,
                            e.getMessage(),
                            EventKey.ACTION,
                            "ignored");
        }
    }

    @Override
    public void handleRemoval(String name) {
        String address = entryAddresses.remove(name);
        if (address != null) {
            links.disconnect(address);
        }
        if (name.equals(settings.node())) {
            loop.log().event(EventName.REGISTRATION_LOST, EventKey.NODE, name);
            register(sidecar::setRegistration);
        }
    }
}
