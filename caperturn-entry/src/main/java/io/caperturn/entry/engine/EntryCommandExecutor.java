package io.caperturn.entry.engine;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.observe.EntryObserver;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.kernel.ServiceRegistry;

/** Executes the state machine's commands, each through the service responsible for it. */
final class EntryCommandExecutor {
    private final Engine engine;
    private final EntryLinkService links;
    private final ClaimService claims;
    private final RegistryService registry;
    private final Waiters waiters;
    private final EntryObserver observer;
    private final Runnable onDrained;

    EntryCommandExecutor(ServiceRegistry services, Engine engine, Runnable onDrained) {
        this.engine = engine;
        this.links = services.find(EntryLinkService.NAME);
        this.claims = services.find(ClaimService.NAME);
        this.registry = services.find(RegistryService.NAME);
        this.waiters = services.find(Waiters.NAME);
        this.observer = services.find(EntryObserver.NAME);
        this.onDrained = onDrained;
    }

    void execute(EntryMachineCommand command) {
        switch (command) {
            case EntryMachineCommand.RequestClaim request -> {
                if (!claims.requestClaim(request)) {
                    engine.addFollowUp(new EntryEvent.ClaimSettled(
                            request.submission().id(), new ClaimResult.Unavailable("too many pending claims")));
                }
            }
            case EntryMachineCommand.RelayToOwner relay -> links.relayToOwner(relay);
            case EntryMachineCommand.AdoptClaim adopt -> registry.adopt(adopt);
            case EntryMachineCommand.SendFence fence -> links.sendFence(fence);
            case EntryMachineCommand.SendDispatches dispatches -> send(dispatches);
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
            case EntryMachineCommand.Publish publish -> observer.publish(publish.occurrence());
            case EntryMachineCommand.Drained() -> onDrained.run();
        }
    }

    private void send(EntryMachineCommand.SendDispatches dispatches) {
        if (links.sendDispatches(dispatches)) {
            return;
        }
        engine.addFollowUp(new EntryEvent.SidecarLost(dispatches.sidecar()));
        engine.addFollowUp(new EntryEvent.DispatchNotSent(
                dispatches.sidecar(),
                dispatches.dispatches().stream()
                        .map(EntryMachineCommand.Dispatch::attempt)
                        .toList()));
    }
}
