package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.RelayReply;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.entry.engine.Waiters;
import io.caperturn.kernel.Duty;
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
 * Relays of submissions to the entries that own their claims, and answers to relays from others.
 *
 * <p>A duty of its own holds all state. An owner of another incarnation than the one that holds the claim is reported
 * at once; one at whose address nothing answers, after {@link #CONNECT_TIMEOUT}. A link that is lost under a relay is
 * replaced and the relay sent again, so that a connection gone silent does not make its owner look lost.
 */
final class RelayService {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final int QUEUE_CAPACITY = 1 << 14;

    private final LinkEndpoint endpoint;
    private final Consumer<EntryEvent> events;
    private final Consumer<EntryEvent> followUps;
    private final Waiters waiters;
    private final Clock clock;
    private final Duty<RelayStep> duty;
    private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();
    private final Map<String, Set<Link>> linksByAddress = new HashMap<>();
    private final Map<String, Instant> lastUsed = new HashMap<>();
    private long lastRelayNumber;

    /**
     * Creates the service.
     *
     * @param endpoint the end of this entry's links
     * @param events takes events from any thread
     * @param feedback takes events on the engine's own thread
     * @param waiters who waits for answers
     * @param clock source of time
     */
    RelayService(
            LinkEndpoint endpoint,
            Consumer<EntryEvent> events,
            Consumer<EntryEvent> feedback,
            Waiters waiters,
            Clock clock) {
        this.endpoint = endpoint;
        this.events = events;
        this.followUps = feedback;
        this.waiters = waiters;
        this.clock = clock;
        this.duty = new Duty<>("relays", QUEUE_CAPACITY, CHECK_INTERVAL, new RelayWork());
    }

    void start() {
        duty.start();
    }

    void stop() {
        duty.stop();
    }

    void relayToOwner(EntryCommand.RelayToOwner command) {
        if (!duty.offer(new RelayStep.Start(command))) {
            followUps.accept(new EntryEvent.RelaySettled(
                    command.submission().id(), new RelayReply.OwnerUnreachable("too many relays wait")));
        }
    }

    /** Opens a link to another entry for a while, if there is none; its frames tell which table it has in force. */
    void connect(String address) {
        duty.offer(new RelayStep.Connect(address));
    }

    void onOpened(Link link) {
        duty.offer(new RelayStep.Opened(link));
    }

    void onClosed(Link link) {
        duty.offer(new RelayStep.Closed(link));
    }

    void onRelayAnswer(RelayAnswer answer) {
        duty.offer(new RelayStep.Answered(answer));
    }

    /** Takes a relayed submission from another entry: it arrives here as if its client had come here. */
    void onRelay(Link link, Relay relay) {
        Submission submission = EntryFrameCodec.decodeSubmission(relay, clock.instant());
        long number = relay.getRelayNumber();
        long waiter = waiters.register((ignored, answer) -> link.send(EntryFrameCodec.encodeAnswer(number, answer)));
        events.accept(new EntryEvent.SubmissionArrived(submission, waiter, true));
    }

    /** What the duty's ring carries. */
    private sealed interface RelayStep {
        /** A submission is to be relayed. */
        record Start(EntryCommand.RelayToOwner command) implements RelayStep {}

        /** Another entry is to be visited. */
        record Connect(String address) implements RelayStep {}

        /** A link to another entry opened. */
        record Opened(Link link) implements RelayStep {}

        /** A link to another entry closed. */
        record Closed(Link link) implements RelayStep {}

        /** An owner answered. */
        record Answered(RelayAnswer answer) implements RelayStep {}
    }

    /** A relay without an answer yet. */
    private record PendingRelay(EntryCommand.RelayToOwner command, Instant connectingSince, Optional<Link> sentOver) {
        private boolean isSent() {
            return sentOver.isPresent();
        }
    }

    private final class RelayWork implements Duty.Work<RelayStep> {
        @Override
        public void onBatch(List<RelayStep> batch) {
            for (RelayStep step : batch) {
                switch (step) {
                    case RelayStep.Start(EntryCommand.RelayToOwner command) -> startRelay(command);
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
            for (Map.Entry<Long, PendingRelay> entry : List.copyOf(pendingRelays.entrySet())) {
                PendingRelay relay = entry.getValue();
                if (!relay.isSent() && !now.isBefore(relay.connectingSince().plus(CONNECT_TIMEOUT))) {
                    settle(entry.getKey(), new RelayReply.OwnerUnreachable("its owner does not answer"));
                }
            }
            for (Map.Entry<String, Instant> use : List.copyOf(lastUsed.entrySet())) {
                boolean idle = !now.isBefore(use.getValue().plus(IDLE_TIMEOUT));
                if (idle && pendingRelays.values().stream().noneMatch(relay -> hasOwnerAddress(relay, use.getKey()))) {
                    lastUsed.remove(use.getKey());
                    endpoint.disconnect(use.getKey());
                }
            }
        }
    }

    private void startRelay(EntryCommand.RelayToOwner command) {
        long number = ++lastRelayNumber;
        pendingRelays.put(number, new PendingRelay(command, clock.instant(), Optional.empty()));
        lastUsed.put(command.ownerAddress(), clock.instant());
        sendOrConnect(number, command.ownerAddress());
    }

    private void sendOrConnect(long number, String address) {
        Optional<Link> link =
                linksByAddress.getOrDefault(address, Set.of()).stream().findFirst();
        if (link.isPresent()) {
            send(number, link.get());
        } else {
            endpoint.connect(address);
        }
    }

    private void connectIfUnlinked(String address) {
        if (linksByAddress.getOrDefault(address, Set.of()).isEmpty()) {
            lastUsed.put(address, clock.instant());
            endpoint.connect(address);
        }
    }

    private void handleOpened(Link link) {
        String address = link.peer().linkAddress();
        if (!lastUsed.containsKey(address)) {
            return;
        }
        linksByAddress
                .computeIfAbsent(address, ignored -> new LinkedHashSet<>())
                .add(link);
        List.copyOf(pendingRelays.keySet()).stream()
                .filter(number -> hasOwnerAddress(pendingRelays.get(number), address))
                .filter(number -> !pendingRelays.get(number).isSent())
                .forEach(number -> send(number, link));
    }

    private void send(long number, Link link) {
        PendingRelay relay = pendingRelays.get(number);
        ProcessId owner = relay.command().owner();
        if (!link.peer().process().equals(owner)) {
            settle(number, new RelayReply.OwnerUnreachable("its owner " + owner + " is gone"));
            return;
        }
        if (link.send(EntryFrameCodec.encodeRelay(relay.command().submission(), number, clock.instant()))) {
            pendingRelays.put(number, new PendingRelay(relay.command(), relay.connectingSince(), Optional.of(link)));
        }
    }

    /** Sends the relays of a lost link again; the owner takes them for further waits for the same submission. */
    private void handleClosed(Link link) {
        String address = link.peer().linkAddress();
        Set<Link> open = linksByAddress.getOrDefault(address, Set.of());
        if (!open.remove(link)) {
            return;
        }
        for (Map.Entry<Long, PendingRelay> entry : List.copyOf(pendingRelays.entrySet())) {
            PendingRelay relay = entry.getValue();
            if (relay.sentOver().filter(link::equals).isPresent()) {
                pendingRelays.put(entry.getKey(), new PendingRelay(relay.command(), clock.instant(), Optional.empty()));
                sendOrConnect(entry.getKey(), address);
            }
        }
    }

    private void handleAnswer(RelayAnswer answer) {
        if (pendingRelays.containsKey(answer.getRelayNumber())) {
            settle(answer.getRelayNumber(), new RelayReply.Answered(EntryFrameCodec.encodeAnswer(answer)));
        }
    }

    private void settle(long number, RelayReply reply) {
        PendingRelay relay = pendingRelays.remove(number);
        events.accept(new EntryEvent.RelaySettled(relay.command().submission().id(), reply));
    }

    private static boolean hasOwnerAddress(PendingRelay relay, String address) {
        return relay.command().ownerAddress().equals(address);
    }
}
