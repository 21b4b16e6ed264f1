package io.caperturn.entry.registry;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.EntryCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.Duty;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Kernel;
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
    private static final Duration STORE_CONFIRMATION_DELAY = Duration.ofSeconds(4);
    private static final int QUEUE_CAPACITY = 1 << 14;

    private final ProcessId self;
    private final EnrolmentStore enrolments;
    private final EntryMembership membership;
    private final Clock clock;
    private final Duty<RegistryRequest> duty =
            new Duty<>("registry", QUEUE_CAPACITY, RETRY_INTERVAL, new RegistryWork());
    private final Set<ProcessId> enrolled = new HashSet<>();
    private final Set<ProcessId> awaitingEnrolment = new HashSet<>();
    private EntryLinkService links;
    private ClaimService claims;
    private Engine engine;
    private Instant nextRefresh = Instant.MIN;
    private Optional<LimitShare> lastShare = Optional.empty();
    private TableService table;
    private volatile boolean recordClosed;

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
        this.membership = new EntryMembership(
                new MembershipStore(store), self, Objects.requireNonNull(availabilityZone, "availabilityZone"));
    }

    @Override
    public void start(Kernel kernel) {
        links = kernel.find(EntryLinkService.NAME);
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
     * Enrols a sidecar; {@link EntryLinkService#onEnrolled} hears of it once it is on record.
     *
     * @param sidecar the sidecar, by incarnation
     */
    public void enrol(ProcessId sidecar) {
        duty.offer(new RegistryRequest.Enrol(sidecar));
    }

    /**
     * Closes the record of a lost owner and replaces its claim; the outcome reaches the engine as an event.
     *
     * @param command what to adopt
     */
    public void adopt(EntryCommand.AdoptClaim command) {
        if (!duty.offer(new RegistryRequest.Adopt(command))) {
            engine.addFollowUp(new EntryEvent.AdoptionSettled(
                    command.submission().id(), new AdoptionResult.Failed("too many adoptions wait")));
        }
    }

    /**
     * Tells whether another entry took this one for lost; it may then use no further sidecar.
     *
     * @return true once the record was found closed
     */
    public boolean isRecordClosed() {
        return recordClosed;
    }

    /** What the duty's ring carries. */
    private sealed interface RegistryRequest {
        /** A sidecar is to be enrolled. */
        record Enrol(ProcessId sidecar) implements RegistryRequest {}

        /** A claim is to be adopted. */
        record Adopt(EntryCommand.AdoptClaim command) implements RegistryRequest {}
    }

    private final class RegistryWork implements Duty.Work<RegistryRequest> {
        @Override
        public void onBatch(List<RegistryRequest> batch) {
            for (RegistryRequest step : batch) {
                switch (step) {
                    case RegistryRequest.Enrol(ProcessId sidecar) -> awaitingEnrolment.add(sidecar);
                    case RegistryRequest.Adopt(EntryCommand.AdoptClaim command) -> prepareAdoption(command);
                }
            }
            enrolAwaitingSidecars();
        }

        @Override
        public void onInterval() {
            enrolAwaitingSidecars();
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
            confirmShareDuringOutage(now);
            return;
        }
        lastShare = share;
        nextRefresh = now.plus(EntryMembership.RENEWAL_INTERVAL);
        engine.put(new EntryEvent.LimitShareConfirmed(share.get(), now));
        links.onEntriesListed(membership.others());
    }

    /**
     * Confirms the last part of the limits while nobody that this entry hears of reaches the store.
     *
     * <p>No entry can join then, so no part can have changed. The confirmation is dated back by the time that news of
     * the store's return may need to get here.
     */
    private void confirmShareDuringOutage(Instant now) {
        long age = table.confirmationAgeMilliseconds();
        boolean outage = age >= STORE_CONFIRMATION_DELAY.toMillis();
        if (outage && lastShare.isPresent()) {
            engine.put(new EntryEvent.LimitShareConfirmed(lastShare.get(), now.minus(STORE_CONFIRMATION_DELAY)));
        }
    }

    private void enrolAwaitingSidecars() {
        awaitingEnrolment.removeAll(enrolled);
        if (awaitingEnrolment.isEmpty() || recordClosed) {
            return;
        }
        Set<ProcessId> all = new HashSet<>(enrolled);
        all.addAll(awaitingEnrolment);
        switch (enrolments.enrol(self, all)) {
            case EnrolmentResult.Enrolled ignored -> {
                List<ProcessId> fresh = new ArrayList<>(awaitingEnrolment);
                enrolled.addAll(fresh);
                awaitingEnrolment.clear();
                fresh.forEach(links::onEnrolled);
            }
            case EnrolmentResult.Closed ignored -> {
                recordClosed = true;
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

    private void prepareAdoption(EntryCommand.AdoptClaim command) {
        switch (enrolments.close(command.held().owner())) {
            case EnrolmentResult.Closed(Set<ProcessId> sidecars) -> claims.adoptClaim(command, sidecars);
            case EnrolmentResult.Enrolled ignored -> failAdoption(command, "the owner's record did not close");
            case EnrolmentResult.Failed(String detail) -> failAdoption(command, detail);
        }
    }

    private void failAdoption(EntryCommand.AdoptClaim command, String detail) {
        engine.put(new EntryEvent.AdoptionSettled(command.submission().id(), new AdoptionResult.Failed(detail)));
    }
}
