package io.caperturn.entry.registry;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.link.LinkService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.registry.EnrolmentResult;
import io.caperturn.store.registry.EnrolmentStore;
import io.caperturn.store.registry.MembershipStore;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Duty that keeps this entry's rows in the platform's store, and prepares adoptions.
 *
 * <p>A sidecar gets work only after it was enrolled, so that an adopter knows where this entry could have started
 * something. That record is written when a sidecar is first seen; the lease of this entry's place among the entries is
 * renewed at a slow pace.
 */
public final class RegistryService implements Service {
    /** Name under which the service is found. */
    public static final ServiceName<RegistryService> NAME = new ServiceName<>("registry", RegistryService.class);

    private static final System.Logger LOGGER = System.getLogger(RegistryService.class.getName());
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration OUTAGE_NEWS_DELAY = Duration.ofSeconds(4);
    private static final int RING_CAPACITY = 1 << 14;

    private final ProcessId self;
    private final EnrolmentStore enrolments;
    private final Membership membership;
    private final Clock clock;
    private final QueueWorker<Step> duty = new QueueWorker<>("registry", RING_CAPACITY, RETRY_INTERVAL, new Work());
    private final Set<ProcessId> enrolled = new HashSet<>();
    private final Set<ProcessId> awaiting = new HashSet<>();
    private LinkService links;
    private ClaimService claims;
    private Engine engine;
    private Instant nextRefresh = Instant.MIN;
    private Optional<LimitShare> lastShare = Optional.empty();
    private TableService table;
    private volatile boolean closed;

    /**
     * Creates the service.
     *
     * @param self the identity of this entry
     * @param availabilityZone where it runs
     * @param store the platform's store
     * @param clock source of time
     */
    public RegistryService(ProcessId self, String availabilityZone, PlatformStore store, Clock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.enrolments = new EnrolmentStore(store);
        this.membership = new Membership(
                new MembershipStore(store), self, Objects.requireNonNull(availabilityZone, "availabilityZone"));
    }

    @Override
    public void start(ServiceRegistry kernel) {
        links = kernel.find(LinkService.NAME);
        claims = kernel.find(ClaimService.NAME);
        engine = kernel.find(Engine.NAME);
        table = kernel.find(TableService.NAME);
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
        membership.leave();
    }

    /**
     * Enrols a sidecar; {@link LinkService#onEnrolled} hears of it once it is on record.
     *
     * @param sidecar the sidecar, by incarnation
     */
    public void enrol(ProcessId sidecar) {
        duty.offer(new Step.Enrol(sidecar));
    }

    /**
     * Closes the record of a lost owner and replaces its claim; the outcome reaches the engine as an event.
     *
     * @param command what to adopt
     */
    public void adopt(EntryMachineCommand.AdoptClaim command) {
        if (!duty.offer(new Step.Adopt(command))) {
            engine.feedBack(new EntryEvent.AdoptionSettled(
                    command.submission().id(), new AdoptionResult.Failed("too many adoptions wait")));
        }
    }

    /**
     * Tells whether another entry took this one for lost; it may then use no further sidecar.
     *
     * @return true once the record was found closed
     */
    public boolean isClosed() {
        return closed;
    }

    /** What the duty's ring carries. */
    private sealed interface Step {
        /** A sidecar is to be enrolled. */
        record Enrol(ProcessId sidecar) implements Step {}

        /** A claim is to be adopted. */
        record Adopt(EntryMachineCommand.AdoptClaim command) implements Step {}
    }

    private final class Work implements QueueWorker.Handler<Step> {
        @Override
        public void onBatch(List<Step> batch) {
            for (Step step : batch) {
                switch (step) {
                    case Step.Enrol(ProcessId sidecar) -> awaiting.add(sidecar);
                    case Step.Adopt(EntryMachineCommand.AdoptClaim command) -> prepareAdoption(command);
                }
            }
            enrolAwaiting();
        }

        @Override
        public void onInterval() {
            enrolAwaiting();
            refreshMembership();
        }
    }

    private void refreshMembership() {
        Instant now = clock.instant();
        if (now.isBefore(nextRefresh)) {
            return;
        }
        Optional<LimitShare> share = membership.refresh(links.address(), now);
        if (share.isEmpty()) {
            keepShareThroughOutage(now);
            return;
        }
        lastShare = share;
        nextRefresh = now.plus(Membership.INTERVAL);
        engine.put(new EntryEvent.LimitShareConfirmed(share.get(), now));
        links.onEntriesListed(membership.others());
    }

    /**
     * Confirms the last part of the limits while nobody that this entry hears of reaches the store.
     *
     * <p>No entry can join then, so no part can have changed. The confirmation is dated back by the time that news of
     * the store's return may need to get here.
     */
    private void keepShareThroughOutage(Instant now) {
        long age = table.confirmationAgeMilliseconds();
        boolean outage = age >= OUTAGE_NEWS_DELAY.toMillis();
        if (outage && lastShare.isPresent()) {
            engine.put(new EntryEvent.LimitShareConfirmed(lastShare.get(), now.minus(OUTAGE_NEWS_DELAY)));
        }
    }

    private void enrolAwaiting() {
        awaiting.removeAll(enrolled);
        if (awaiting.isEmpty() || closed) {
            return;
        }
        Set<ProcessId> all = new HashSet<>(enrolled);
        all.addAll(awaiting);
        switch (enrolments.enrol(self, all)) {
            case EnrolmentResult.Enrolled ignored -> {
                List<ProcessId> fresh = new ArrayList<>(awaiting);
                enrolled.addAll(fresh);
                awaiting.clear();
                fresh.forEach(links::onEnrolled);
            }
            case EnrolmentResult.Closed ignored -> {
                closed = true;
                LOGGER.log(
                        System.Logger.Level.WARNING,
                        EventLine.of("registration-closed")
                                .with("process", self)
                                .toString());
            }
            case EnrolmentResult.Failed(String detail) ->
                LOGGER.log(
                        System.Logger.Level.DEBUG,
                        () -> EventLine.of("enrolment-failed")
                                .with("detail", detail)
                                .toString());
        }
    }

    private void prepareAdoption(EntryMachineCommand.AdoptClaim command) {
        switch (enrolments.close(command.held().owner())) {
            case EnrolmentResult.Closed(Set<ProcessId> sidecars) -> claims.adopt(command, sidecars);
            case EnrolmentResult.Enrolled ignored -> failAdoption(command, "the owner's record did not close");
            case EnrolmentResult.Failed(String detail) -> failAdoption(command, detail);
        }
    }

    private void failAdoption(EntryMachineCommand.AdoptClaim command, String detail) {
        engine.put(new EntryEvent.AdoptionSettled(command.submission().id(), new AdoptionResult.Failed(detail)));
    }
}
