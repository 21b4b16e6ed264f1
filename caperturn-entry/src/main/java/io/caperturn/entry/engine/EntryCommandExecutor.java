package io.caperturn.entry.engine;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.observe.EntryObserver;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.kernel.ServiceRegistry;

/**
 * Executor of the commands of the entry process's state machine, each through the service responsible for it.
 *
 * <p>A claim is the stored record that makes an entry the owner of a submission; adopting replaces the claim of a lost
 * owner. A fence makes a sidecar (process beside an upstream) refuse tasks from earlier owners. A resolve asks for the
 * state of an attempt, demand is the number of waiting tasks, and a farewell announces that no more follow.
 */
final class EntryCommandExecutor {
    private final EntryEventLoop eventLoop;
    private final EntryLinkService links;
    private final ClaimService claims;
    private final RegistryService registry;
    private final WaiterRegistry waiters;
    private final EntryObserver observer;
    /** Called in a planned stop when every accepted submission has its answer. */
    private final Runnable onDrained;

    EntryCommandExecutor(ServiceRegistry services, EntryEventLoop eventLoop, Runnable onDrained) {
        this.eventLoop = eventLoop;
        this.links = services.find(EntryLinkService.NAME);
        this.claims = services.find(ClaimService.NAME);
        this.registry = services.find(RegistryService.NAME);
        this.waiters = services.find(WaiterRegistry.NAME);
        this.observer = services.find(EntryObserver.NAME);
        this.onDrained = onDrained;
    }

    void execute(EntryMachineCommand command) {
        switch (command) {
            case EntryMachineCommand.RequestClaim request -> {
                if (!claims.requestClaim(request)) {
                    eventLoop.addFollowUp(new EntryEvent.ClaimSettled(
                            request.submission().id(), new ClaimResult.Unavailable("too many pending claims")));
                }
            }
            case EntryMachineCommand.RelayToOwner relay -> links.relayToOwner(relay);
            case EntryMachineCommand.AdoptClaim adopt -> registry.adopt(adopt);
            case EntryMachineCommand.SendFence fence -> links.sendFence(fence);
            case EntryMachineCommand.SendDispatches dispatches -> sendOrReportLoss(dispatches);
            case EntryMachineCommand.SendDemand demand -> links.sendDemand(demand);
            case EntryMachineCommand.SendResolve resolve -> links.sendResolve(resolve);
            case EntryMachineCommand.SendCancels cancels -> links.sendCancels(cancels);
            case EntryMachineCommand.SendFarewell farewell -> links.sendFarewell(farewell);
            case EntryMachineCommand.SendAnswer sendAnswer ->
                sendAnswer
                        .waiters()
                        .forEach(waiter -> waiters.remove(waiter)
                                .ifPresent(
                                        receiver -> receiver.onAnswer(sendAnswer.submission(), sendAnswer.answer())));
            case EntryMachineCommand.Publish publish -> observer.publish(/* event= */ publish.occurrence());
            case EntryMachineCommand.Drained() -> onDrained.run();
        }
    }

    /** Sends dispatches, or reports them as not sent and their sidecar as lost. */
    private void sendOrReportLoss(EntryMachineCommand.SendDispatches dispatches) {
        if (links.sendDispatches(dispatches)) {
            return;
        }
        eventLoop.addFollowUp(new EntryEvent.SidecarLost(dispatches.sidecar()));
        eventLoop.addFollowUp(new EntryEvent.DispatchNotSent(
                dispatches.sidecar(),
                dispatches.dispatches().stream()
                        .map(EntryMachineCommand.Dispatch::attempt)
                        .toList()));
    }
}
