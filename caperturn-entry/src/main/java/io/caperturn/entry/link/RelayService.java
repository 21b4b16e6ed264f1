package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.RelayResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.message.Relay;
import io.caperturn.wire.message.RelayAnswer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Service that relays a submission to the other entry process that owns it, and accepts submissions that other entries
 * relay to this one.
 *
 * <p>All state is confined to the service's own thread. An owner is reported as unreachable at once if another
 * incarnation (start of that entry) runs at its address. If no link (connection) to the owner opens, it is reported
 * after {@link #CONNECT_TIMEOUT}. If a link closes before the answer arrives, the service connects and sends the
 * submission again, so that one failed connection does not make the owner appear lost.
 */
final class RelayService {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration LINK_IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final int STEP_QUEUE_CAPACITY = 1 << 14;

    private final LinkEndpoint endpoint;
    private final Consumer<EntryEvent> events;
    private final Consumer<EntryEvent> followUps;
    private final WaiterRegistry waiters;
    private final Clock clock;
    private final QueueWorker<RelayStep> worker;
    private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();
    /** Open links with the entries that this service uses, by their link address. */
    private final Map<String, Set<Link>> linksByAddress = new HashMap<>();
    /** Time of the last use of each link address to which this service connected. */
    private final Map<String, Instant> lastUseByAddress = new HashMap<>();

    private long lastRelayNumber;

    /**
     * Creates the service.
     *
     * @param endpoint the endpoint of this entry's links
     * @param events receives the events of all threads but the event loop's; may block
     * @param followUps receives the events of the event loop's thread; never blocks
     * @param waiters registry of the waiters for answers
     * @param clock source of time
     */
    RelayService(
            LinkEndpoint endpoint,
            Consumer<EntryEvent> events,
            Consumer<EntryEvent> followUps,
            WaiterRegistry waiters,
            Clock clock) {
        this.endpoint = endpoint;
        this.events = events;
        this.followUps = followUps;
        this.waiters = waiters;
        this.clock = clock;
        this.worker = new QueueWorker<>("relays", STEP_QUEUE_CAPACITY, CHECK_INTERVAL, new StepHandler());
    }

    void start() {
        worker.start();
    }

    void stop() {
        worker.stop();
    }

    void relayToOwner(EntryMachineCommand.RelayToOwner command) {
        if (!worker.offer(new RelayStep.Start(command))) {
            followUps.accept(new EntryEvent.RelaySettled(
                    command.submission().id(), new RelayResult.OwnerUnreachable("too many pending relays")));
        }
    }

    /**
     * Opens a temporary link to another entry if there is none. Frames of that entry carry the version of its table of
     * weights and limits, so that this entry learns of a newer one.
     */
    void connect(String address) {
        worker.offer(new RelayStep.Connect(address));
    }

    void onOpened(Link link) {
        worker.offer(new RelayStep.Opened(link));
    }

    void onClosed(Link link) {
        worker.offer(new RelayStep.Closed(link));
    }

    void onRelayAnswer(RelayAnswer answer) {
        worker.offer(new RelayStep.Answered(answer));
    }

    /** Accepts a submission relayed by another entry and passes it to the event loop as a client's resubmission. */
    void onRelay(Link link, Relay relay) {
        Submission submission = EntryFrameCodec.decodeSubmission(relay, clock.instant());
        long relayNumber = relay.getRelayNumber();
        long waiter =
                waiters.register((ignored, answer) -> link.send(EntryFrameCodec.encodeAnswer(relayNumber, answer)));
        events.accept(new EntryEvent.SubmissionArrived(submission, waiter, /* resubmission= */ true));
    }

    /** Step to be run on the service's thread. */
    private sealed interface RelayStep {
        /** Relays a submission. */
        record Start(EntryMachineCommand.RelayToOwner command) implements RelayStep {}

        /** Connects to another entry. */
        record Connect(String address) implements RelayStep {}

        /** Handles a link to another entry that was opened. */
        record Opened(Link link) implements RelayStep {}

        /** Handles a link to another entry that was closed. */
        record Closed(Link link) implements RelayStep {}

        /** Handles the answer of an owner. */
        record Answered(RelayAnswer answer) implements RelayStep {}
    }

    /**
     * Relayed submission that has no answer yet.
     *
     * @param command the submission and its owner
     * @param connectingSince the time from which the connect time-out counts
     * @param sentOn the link on which the submission was sent, empty while it waits for a link
     */
    private record PendingRelay(
            EntryMachineCommand.RelayToOwner command, Instant connectingSince, Optional<Link> sentOn) {
        private boolean isSent() {
            return sentOn.isPresent();
        }
    }

    private final class StepHandler implements QueueWorker.Handler<RelayStep> {
        @Override
        public void onBatch(List<RelayStep> batch) {
            for (RelayStep step : batch) {
                switch (step) {
                    case RelayStep.Start(EntryMachineCommand.RelayToOwner command) -> startRelay(command);
                    case RelayStep.Connect(String address) -> connectIfUnlinked(address);
                    case RelayStep.Opened(Link link) -> handleOpened(link);
                    case RelayStep.Closed(Link link) -> handleClosed(link);
                    case RelayStep.Answered(RelayAnswer answer) -> handleAnswer(answer);
                }
            }
        }

        @Override
        public void onInterval() {
            Instant now = clock.instant();
            for (Map.Entry<Long, PendingRelay> numberedRelay : List.copyOf(pendingRelays.entrySet())) {
                PendingRelay relay = numberedRelay.getValue();
                if (!relay.isSent() && !now.isBefore(relay.connectingSince().plus(CONNECT_TIMEOUT))) {
                    completeRelay(
                            numberedRelay.getKey(),
                            new RelayResult.OwnerUnreachable("its owner could not be reached within the time-out"));
                }
            }
            for (Map.Entry<String, Instant> lastUse : List.copyOf(lastUseByAddress.entrySet())) {
                boolean idle = !now.isBefore(lastUse.getValue().plus(LINK_IDLE_TIMEOUT));
                if (idle
                        && pendingRelays.values().stream()
                                .noneMatch(relay -> hasOwnerAddress(relay, lastUse.getKey()))) {
                    lastUseByAddress.remove(lastUse.getKey());
                    endpoint.disconnect(lastUse.getKey());
                }
            }
        }
    }

    private void startRelay(EntryMachineCommand.RelayToOwner command) {
        long relayNumber = ++lastRelayNumber;
        pendingRelays.put(relayNumber, new PendingRelay(command, clock.instant(), Optional.empty()));
        lastUseByAddress.put(command.ownerAddress(), clock.instant());
        sendOrConnect(relayNumber, command.ownerAddress());
    }

    private void sendOrConnect(long relayNumber, String address) {
        Optional<Link> link =
                linksByAddress.getOrDefault(address, Set.of()).stream().findFirst();
        if (link.isPresent()) {
            send(relayNumber, link.get());
        } else {
            endpoint.connect(address);
        }
    }

    private void connectIfUnlinked(String address) {
        if (linksByAddress.getOrDefault(address, Set.of()).isEmpty()) {
            lastUseByAddress.put(address, clock.instant());
            endpoint.connect(address);
        }
    }

    private void handleOpened(Link link) {
        String address = link.peer().linkAddress();
        if (!lastUseByAddress.containsKey(address)) {
            return;
        }
        linksByAddress
                .computeIfAbsent(address, ignored -> new LinkedHashSet<>())
                .add(link);
        List.copyOf(pendingRelays.keySet()).stream()
                .filter(relayNumber -> hasOwnerAddress(pendingRelays.get(relayNumber), address))
                .filter(relayNumber -> !pendingRelays.get(relayNumber).isSent())
                .forEach(relayNumber -> send(relayNumber, link));
    }

    private void send(long relayNumber, Link link) {
        PendingRelay relay = pendingRelays.get(relayNumber);
        ProcessId owner = relay.command().owner();
        if (!link.peer().process().equals(owner)) {
            completeRelay(
                    relayNumber,
                    new RelayResult.OwnerUnreachable("its owner " + owner + " no longer runs at its address"));
            return;
        }
        if (link.send(EntryFrameCodec.encodeRelay(relay.command().submission(), relayNumber, clock.instant()))) {
            pendingRelays.put(
                    relayNumber, new PendingRelay(relay.command(), relay.connectingSince(), Optional.of(link)));
        }
    }

    /**
     * Sends the unanswered submissions of a closed link again. The owner only adds a waiter if it has the submission.
     */
    private void handleClosed(Link link) {
        String address = link.peer().linkAddress();
        Set<Link> openLinks = linksByAddress.getOrDefault(address, Set.of());
        if (!openLinks.remove(link)) {
            return;
        }
        for (Map.Entry<Long, PendingRelay> numberedRelay : List.copyOf(pendingRelays.entrySet())) {
            PendingRelay relay = numberedRelay.getValue();
            if (relay.sentOn().filter(link::equals).isPresent()) {
                pendingRelays.put(
                        numberedRelay.getKey(), new PendingRelay(relay.command(), clock.instant(), Optional.empty()));
                sendOrConnect(numberedRelay.getKey(), address);
            }
        }
    }

    private void handleAnswer(RelayAnswer answer) {
        if (pendingRelays.containsKey(answer.getRelayNumber())) {
            completeRelay(answer.getRelayNumber(), new RelayResult.Answered(EntryFrameCodec.decodeAnswer(answer)));
        }
    }

    private void completeRelay(long relayNumber, RelayResult result) {
        PendingRelay relay = pendingRelays.remove(relayNumber);
        events.accept(new EntryEvent.RelaySettled(relay.command().submission().id(), result));
    }

    private static boolean hasOwnerAddress(PendingRelay relay, String address) {
        return relay.command().ownerAddress().equals(address);
    }
}
