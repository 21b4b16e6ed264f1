package io.caperturn.entry.claim;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.claim.ClaimOwner;
import io.caperturn.store.claim.ClaimPolicy;
import io.caperturn.store.claim.ClaimWriter;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Service that writes claims to the store in batches and reports the result of each claim to the event loop.
 *
 * <p>A claim is the stored record that makes one entry process the owner of a submission; its fence is the fencing
 * token. To adopt a claim is to replace it after its owner was lost. A sidecar is the process beside an upstream.
 */
public final class ClaimService implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<ClaimService> NAME = new ServiceName<>("claims", ClaimService.class);

    private final ProcessId self;
    private final PlatformStore store;
    private final ClaimPolicy policy;
    private final Map<SubmissionId, PendingAdoption> pendingAdoptions = new ConcurrentHashMap<>();
    private EntryEventLoop eventLoop;
    private ClaimWriter writer;

    /**
     * Creates the service.
     *
     * @param self the identity of this entry, under which it holds claims
     * @param store the platform's store
     * @param policy the batching, time-outs and expiry of claims
     */
    public ClaimService(ProcessId self, PlatformStore store, ClaimPolicy policy) {
        this.self = Objects.requireNonNull(self, "self");
        this.store = Objects.requireNonNull(store, "store");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    @Override
    public void start(ServiceRegistry services) {
        eventLoop = services.find(EntryEventLoop.NAME);
        String linkAddress = services.find(EntryLinkService.NAME).address();
        writer = new ClaimWriter(store, new ClaimOwner(self, linkAddress), policy, this::handleClaimResult);
        writer.start();
    }

    @Override
    public void stop() {
        writer.stop();
    }

    /**
     * Requests the claim of a submission; the result reaches the event loop as an event.
     *
     * @param command the submission to claim, and the number of the claim request
     * @return false if too many claims are pending; nothing is written then
     */
    public boolean requestClaim(EntryMachineCommand.RequestClaim command) {
        return writer.requestClaim(command.submission(), command.request());
    }

    /**
     * Requests the replacement of the claim of a lost owner; the result reaches the event loop as an event.
     *
     * @param command the submission, the claim to replace, and the number of the claim request
     * @param sidecars every sidecar to which the lost owner may have sent tasks
     */
    public void adoptClaim(EntryMachineCommand.AdoptClaim command, Set<ProcessId> sidecars) {
        pendingAdoptions.put(
                command.submission().id(), new PendingAdoption(command.held().claimedAt(), sidecars));
        writer.requestAdoption(command.submission(), command.request(), command.held());
    }

    private void handleClaimResult(EntryEvent.ClaimSettled event) {
        PendingAdoption adoption = pendingAdoptions.remove(event.submission());
        if (adoption == null) {
            eventLoop.put(event);
            return;
        }
        AdoptionResult result = switch (event.result()) {
            case ClaimResult.Granted granted ->
                new AdoptionResult.Adopted(granted.fence(), adoption.claimedAt(), adoption.sidecars());
            case ClaimResult.HeldByOther held ->
                new AdoptionResult.Failed("adopted by " + held.owner() + " in the meantime");
            case ClaimResult.Unavailable(String detail) -> new AdoptionResult.Failed(detail);
        };
        eventLoop.put(new EntryEvent.AdoptionSettled(event.submission(), result));
    }

    /**
     * Adoption whose new claim is being written.
     *
     * @param claimedAt the time at which the first owner claimed the submission
     * @param sidecars every sidecar to which the lost owner may have sent tasks
     */
    private record PendingAdoption(Instant claimedAt, Set<ProcessId> sidecars) {}
}
