package io.caperturn.entry.registry;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.registry.EnrolmentRepository;
import io.caperturn.store.registry.EnrolmentResult;
import io.caperturn.store.registry.MembershipRepository;
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
 * Service that maintains this entry process's membership and enrolment record in the platform's store and prepares
 * adoptions, on a thread of its own. An adoption replaces the claim by which a lost entry owned a submission.
 *
 * <p>An entry sends tasks to a sidecar, the process beside an upstream, only after it has added the sidecar to its
 * enrolment record in the store. Before an entry adopts a claim, it closes this record of the lost entry, so that no
 * sidecar can be added. From the record it reads every sidecar at which tasks may have started. The lease of this
 * entry's membership is renewed every {@link EntryMembership#RENEWAL_INTERVAL}.
 */
public final class RegistryService implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<RegistryService> NAME = new ServiceName<>("registry", RegistryService.class);

    private static final System.Logger LOGGER = System.getLogger(RegistryService.class.getName());
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    /** Maximum time until this entry learns from a frame that a linked process has read the store. */
    private static final Duration MAXIMUM_CONFIRMATION_DELAY = Duration.ofSeconds(4);

    private static final int REQUEST_QUEUE_CAPACITY = 1 << 14;

    private final ProcessId self;
    private final EnrolmentRepository enrolments;
    private final EntryMembership membership;
    private final Clock clock;
    private final QueueWorker<RegistryRequest> worker =
            new QueueWorker<>("registry", REQUEST_QUEUE_CAPACITY, RETRY_INTERVAL, new RequestHandler());
    private final Set<ProcessId> enrolledSidecars = new HashSet<>();
    private final Set<ProcessId> sidecarsToEnrol = new HashSet<>();
    private EntryLinkService links;
    private ClaimService claims;
    private EntryEventLoop eventLoop;
    private Instant nextMembershipRefresh = Instant.MIN;
    private Optional<LimitShare> lastLimitShare = Optional.empty();
    /** Knows the confirmation age: the time since the last known answered read of the store. */
    private TableService table;

    private volatile boolean declaredLost;

    /**
     * Creates the service.
     *
     * @param self the identity of this entry
     * @param availabilityZone the availability zone of this entry
     * @param store the platform's store
     * @param clock source of time
     */
    public RegistryService(ProcessId self, String availabilityZone, PlatformStore store, Clock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.enrolments = new EnrolmentRepository(store);
        this.membership = new EntryMembership(
                new MembershipRepository(store), self, Objects.requireNonNull(availabilityZone, "availabilityZone"));
    }

    @Override
    public void start(ServiceRegistry services) {
        links = services.find(EntryLinkService.NAME);
        claims = services.find(ClaimService.NAME);
        eventLoop = services.find(EntryEventLoop.NAME);
        table = services.find(TableService.NAME);
        worker.start();
    }

    @Override
    public void stop() {
        worker.stop();
        membership.leave();
    }

    /**
     * Adds a sidecar to this entry's enrolment record; {@link EntryLinkService#onEnrolled} is called once the record is
     * stored.
     *
     * @param sidecar the name and incarnation of the sidecar
     */
    public void enrol(ProcessId sidecar) {
        worker.offer(new RegistryRequest.Enrol(sidecar));
    }

    /**
     * Closes the enrolment record of a lost owner and replaces its claim; the result reaches the event loop as an
     * event.
     *
     * @param command the submission and the claim to replace
     */
    public void adopt(EntryMachineCommand.AdoptClaim command) {
        if (!worker.offer(new RegistryRequest.Adopt(command))) {
            eventLoop.addFollowUp(new EntryEvent.AdoptionSettled(
                    command.submission().id(), new AdoptionResult.Failed("too many pending adoptions")));
        }
    }

    /**
     * Returns whether another entry has declared this one lost by closing this entry's enrolment record.
     *
     * @return true once this entry has found its record closed
     */
    public boolean isDeclaredLost() {
        return declaredLost;
    }

    /** Request to be handled on the service's thread. */
    private sealed interface RegistryRequest {
        /** Adds a sidecar to the enrolment record. */
        record Enrol(ProcessId sidecar) implements RegistryRequest {}

        /** Adopts the claim of a lost entry. */
        record Adopt(EntryMachineCommand.AdoptClaim command) implements RegistryRequest {}
    }

    private final class RequestHandler implements QueueWorker.Handler<RegistryRequest> {
        @Override
        public void onBatch(List<RegistryRequest> batch) {
            for (RegistryRequest request : batch) {
                switch (request) {
                    case RegistryRequest.Enrol(ProcessId sidecar) -> sidecarsToEnrol.add(sidecar);
                    case RegistryRequest.Adopt(EntryMachineCommand.AdoptClaim command) -> prepareAdoption(command);
                }
            }
            enrolPendingSidecars();
        }

        @Override
        public void onInterval() {
            enrolPendingSidecars();
            refreshMembership();
        }
    }

    private void refreshMembership() {
        Instant now = clock.instant();
        if (now.isBefore(nextMembershipRefresh)) {
            return;
        }
        Optional<LimitShare> share = membership.refresh(links.address(), now);
        if (share.isEmpty()) {
            confirmLimitShareDuringOutage(now);
            return;
        }
        lastLimitShare = share;
        nextMembershipRefresh = now.plus(EntryMembership.RENEWAL_INTERVAL);
        eventLoop.put(new EntryEvent.LimitShareConfirmed(share.get(), now));
        links.onEntriesListed(membership.otherMembers());
    }

    /**
     * Confirms this entry's last share (part of each limit) during an outage of the store, while neither this entry nor
     * any process linked to it reaches the store.
     *
     * <p>No entry can join during an outage, so no share changes. The confirmation is backdated by
     * {@link #MAXIMUM_CONFIRMATION_DELAY}, as the outage can have ended that long ago unnoticed.
     */
    private void confirmLimitShareDuringOutage(Instant now) {
        long confirmationAge = table.confirmationAgeMilliseconds();
        boolean isOutage = confirmationAge >= MAXIMUM_CONFIRMATION_DELAY.toMillis();
        if (isOutage && lastLimitShare.isPresent()) {
            eventLoop.put(
                    new EntryEvent.LimitShareConfirmed(lastLimitShare.get(), now.minus(MAXIMUM_CONFIRMATION_DELAY)));
        }
    }

    private void enrolPendingSidecars() {
        sidecarsToEnrol.removeAll(enrolledSidecars);
        if (sidecarsToEnrol.isEmpty() || declaredLost) {
            return;
        }
        Set<ProcessId> all = new HashSet<>(enrolledSidecars);
        all.addAll(sidecarsToEnrol);
        switch (enrolments.enrol(self, all)) {
            case EnrolmentResult.Enrolled ignored -> {
                List<ProcessId> newlyEnrolled = new ArrayList<>(sidecarsToEnrol);
                enrolledSidecars.addAll(newlyEnrolled);
                sidecarsToEnrol.clear();
                newlyEnrolled.forEach(links::onEnrolled);
            }
            case EnrolmentResult.Closed ignored -> {
                declaredLost = true;
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
            case EnrolmentResult.Closed(Set<ProcessId> sidecars) -> claims.adoptClaim(command, sidecars);
            case EnrolmentResult.Enrolled ignored ->
                failAdoption(command, "the owner's enrolment record could not be closed");
            case EnrolmentResult.Failed(String detail) -> failAdoption(command, detail);
        }
    }

    private void failAdoption(EntryMachineCommand.AdoptClaim command, String detail) {
        eventLoop.put(new EntryEvent.AdoptionSettled(command.submission().id(), new AdoptionResult.Failed(detail)));
    }
}
