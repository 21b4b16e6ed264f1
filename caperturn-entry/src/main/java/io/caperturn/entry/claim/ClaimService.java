package io.caperturn.entry.claim;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.entry.engine.Engine;
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

/** Service that writes claims to the store in batches and reports the result of each to the engine. */
public final class ClaimService implements Service {
    /** Name under which the service is registered in the {@link ServiceRegistry}. */
    public static final ServiceName<ClaimService> NAME = new ServiceName<>("claims", ClaimService.class);

    private final ProcessId self;
    private final PlatformStore store;
    private final ClaimPolicy policy;
    private final Map<SubmissionId, PendingAdoption> pendingAdoptions = new ConcurrentHashMap<>();
    private Engine engine;
    private ClaimWriter writer;

    /**
     * Creates the service.
     *
     * @param self the identity under which claims are held
     * @param store the platform's store
     * @param policy the batching, time-outs and expiry of claims
     */
    public ClaimService(ProcessId self, PlatformStore store, ClaimPolicy policy) {
        this.self = Objects.requireNonNull(self, "self");
        this.store = Objects.requireNonNull(store, "store");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    @Override
    public void start(ServiceRegistry kernel) {
        engine = kernel.find(Engine.NAME);
        String linkAddress = kernel.find(EntryLinkService.NAME).address();
        writer = new ClaimWriter(store, new ClaimOwner(self, linkAddress), policy, this::onSettled);
        writer.start();
    }

    @Override
    public void stop() {
        writer.stop();
    }

    /**
     * Requests the claim of a submission; the result reaches the engine as an event.
     *
     * @param command the submission to claim
     * @return false if too many claims are pending; nothing is written then
     */
    public boolean requestClaim(EntryMachineCommand.RequestClaim command) {
        return writer.requestClaim(command.submission(), command.request());
    }

    /**
     * Requests the replacement of the claim of a lost owner; the result reaches the engine as an event.
     *
     * @param command the claim to adopt
     * @param sidecars every sidecar to which the lost owner may have sent tasks
     */
    public void adoptClaim(EntryMachineCommand.AdoptClaim command, Set<ProcessId> sidecars) {
        pendingAdoptions.put(
                command.submission().id(), new PendingAdoption(command.held().claimedAt(), sidecars));
        writer.requestAdoption(command.submission(), command.request(), command.held());
    }

    private void onSettled(EntryEvent.ClaimSettled settled) {
        PendingAdoption adoption = pendingAdoptions.remove(settled.submission());
        if (adoption == null) {
            engine.put(settled);
            return;
        }
        AdoptionResult result = switch (settled.result()) {
            case ClaimResult.Granted granted ->
                new AdoptionResult.Adopted(granted.fence(), adoption.claimedAt(), adoption.sidecars());
            case ClaimResult.HeldByOther held ->
                new AdoptionResult.Failed("adopted by " + held.owner() + " in the meantime");
            case ClaimResult.Unavailable(String detail) -> new AdoptionResult.Failed(detail);
        };
        engine.put(new EntryEvent.AdoptionSettled(settled.submission(), result));
    }

    /**
     * Adoption whose claim is being written.
     *
     * @param claimedAt the time at which the submission was first claimed
     * @param sidecars every sidecar to which the lost owner may have sent tasks
     */
    private record PendingAdoption(Instant claimedAt, Set<ProcessId> sidecars) {}
}
