package io.caperturn.entry.engine;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.observe.EntryObserver;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.kernel.Kernel;

/** Executes the state machine's commands, each through the service responsible for it. */
final class EntryCommandExecutor {
    private final Engine engine;
    private final EntryLinkService links;
    private final ClaimService claims;
    private final RegistryService registry;
    private final Waiters waiters;
    private final EntryObserver observer;
    private final Runnable onDrained;

    EntryCommandExecutor(Kernel kernel, Engine engine, Runnable onDrained) {
        this.engine = engine;
        this.links = kernel.find(EntryLinkService.NAME);
        this.claims = kernel.find(ClaimService.NAME);
        this.registry = kernel.find(RegistryService.NAME);
        this.waiters = kernel.find(Waiters.NAME);
        this.observer = kernel.find(EntryObserver.NAME);
        this.onDrained = onDrained;
    }

    void execute(EntryCommand command) {
        switch (command) {
            case EntryCommand.RequestClaim request -> {
                if (!claims.requestClaim(request)) {
                    engine.addFollowUp(new EntryEvent.ClaimSettled(
                            request.submission().id(), new ClaimResult.Unavailable("too many pending claims")));
                }
            }
            case EntryCommand.RelayToOwner relay -> links.relayToOwner(relay);
            case EntryCommand.AdoptClaim adopt -> registry.adopt(adopt);
            case EntryCommand.SendFence fence -> links.sendFence(fence);
            case EntryCommand.SendDispatches dispatches -> send(dispatches);
            case EntryCommand.SendDemand demand -> links.sendDemand(demand);
            case EntryCommand.SendResolve resolve -> links.sendResolve(resolve);
            case EntryCommand.SendCancels cancels -> links.sendCancels(cancels);
            case EntryCommand.SendFarewell farewell -> links.sendFarewell(farewell);
            case EntryCommand.GiveAnswer giveAnswer ->
                giveAnswer
                        .waiters()
                        .forEach(waiter -> waiters.remove(waiter)
                                .ifPresent(
                                        receiver -> receiver.onAnswer(giveAnswer.submission(), giveAnswer.answer())));
            case EntryCommand.Publish publish -> observer.publish(publish.occurrence());
            case EntryCommand.Drained() -> onDrained.run();
        }
    }

    private void send(EntryCommand.SendDispatches dispatches) {
        if (links.sendDispatches(dispatches)) {
            return;
        }
        engine.addFollowUp(new EntryEvent.SidecarLost(dispatches.sidecar()));
        engine.addFollowUp(new EntryEvent.DispatchNotSent(
                dispatches.sidecar(),
                dispatches.dispatches().stream()
                        .map(EntryCommand.Dispatch::attempt)
                        .toList()));
    }
}
