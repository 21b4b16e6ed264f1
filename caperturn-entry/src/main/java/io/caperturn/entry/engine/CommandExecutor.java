package io.caperturn.entry.engine;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
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

    CommandExecutor(ServiceRegistry services, Engine engine, Runnable onDrained) {
        this.engine = engine;
        this.links = services.find(LinkService.NAME);
        this.claims = services.find(ClaimService.NAME);
        this.registry = services.find(RegistryService.NAME);
        this.waiters = services.find(Waiters.NAME);
        this.observer = services.find(Observer.NAME);
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
            case EntryMachineCommand.SendAnswer send ->
                send.waiters()
                        .forEach(number -> waiters.take(number)
                                .ifPresent(receiver -> receiver.onAnswer(send.submission(), send.answer())));
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
