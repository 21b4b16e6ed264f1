package io.caperturn.entry.engine;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.link.LinkService;
import io.caperturn.entry.observe.Observer;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.kernel.ServiceRegistry;

/** Carries out the commands of the state machine by the services that each concerns. */
final class CommandExecutor {
    private final Engine engine;
    private final LinkService links;
    private final ClaimService claims;
    private final RegistryService registry;
    private final Waiters waiters;
    private final Observer observer;
    private final Runnable onDrained;

    CommandExecutor(ServiceRegistry kernel, Engine engine, Runnable onDrained) {
        this.engine = engine;
        this.links = kernel.find(LinkService.NAME);
        this.claims = kernel.find(ClaimService.NAME);
        this.registry = kernel.find(RegistryService.NAME);
        this.waiters = kernel.find(Waiters.NAME);
        this.observer = kernel.find(Observer.NAME);
        this.onDrained = onDrained;
    }

    void execute(EntryMachineCommand command) {
        switch (command) {
            case EntryMachineCommand.RequestClaim request -> {
                if (!claims.request(request)) {
                    engine.feedBack(new EntryEvent.ClaimSettled(
                            request.submission().id(), new ClaimResult.Unavailable("too many claims wait")));
                }
            }
            case EntryMachineCommand.RelayToOwner relay -> links.relay(relay);
            case EntryMachineCommand.AdoptClaim adopt -> registry.adopt(adopt);
            case EntryMachineCommand.SendFence fence -> links.sendFence(fence);
            case EntryMachineCommand.SendDispatches dispatches -> send(dispatches);
            case EntryMachineCommand.SendDemand demand -> links.sendDemand(demand);
            case EntryMachineCommand.SendResolve resolve -> links.sendResolve(resolve);
            case EntryMachineCommand.SendCancels cancels -> links.sendCancels(cancels);
            case EntryMachineCommand.SendFarewell farewell -> links.sendFarewell(farewell);
            case EntryMachineCommand.SendAnswer given ->
                given.waiters()
                        .forEach(number -> waiters.take(number)
                                .ifPresent(receiver -> receiver.onAnswer(given.submission(), given.answer())));
            case EntryMachineCommand.Publish publish -> observer.publish(publish.occurrence());
            case EntryMachineCommand.Drained() -> onDrained.run();
        }
    }

    private void send(EntryMachineCommand.SendDispatches dispatches) {
        if (links.sendDispatches(dispatches)) {
            return;
        }
        engine.feedBack(new EntryEvent.SidecarLost(dispatches.sidecar()));
        engine.feedBack(new EntryEvent.DispatchNotSent(
                dispatches.sidecar(),
                dispatches.dispatches().stream()
                        .map(EntryMachineCommand.Dispatch::attempt)
                        .toList()));
    }
}
