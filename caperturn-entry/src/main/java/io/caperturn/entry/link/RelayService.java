package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.RelayResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.entry.engine.Waiters;
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
 * Relays of submissions to the entries that own their claims, and answers to relays from others.
 *
 * <p>A duty of its own holds all state. An owner of another incarnation than the one that holds the claim is reported
 * at once; one at whose address nothing answers, after {@link #OPEN_TIMEOUT}. A link that is lost under a relay is
 * replaced and the relay sent again, so that a connection gone silent does not make its owner look lost.
 */
final class RelayService {
    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration INTERVAL = Duration.ofMillis(100);
    private static final int RING_CAPACITY = 1 << 14;

    private final LinkEndpoint endpoint;
    private final Consumer<EntryEvent> events;
    private final Consumer<EntryEvent> feedback;
    private final Waiters waiters;
    private final Clock clock;
    private final QueueWorker<Step> duty;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<String, Set<Link>> links = new HashMap<>();
    private final Map<String, Instant> lastUse = new HashMap<>();
    private long lastNumber;

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
        this.feedback = feedback;
        this.waiters = waiters;
        this.clock = clock;
        this.duty = new QueueWorker<>("relays", RING_CAPACITY, INTERVAL, new Work());
    }

    void start() {
        duty.start();
    }

    void stop() {
        duty.stop();
    }

    void relay(EntryMachineCommand.RelayToOwner command) {
        if (!duty.offer(new Step.Begin(command))) {
            feedback.accept(new EntryEvent.RelaySettled(
                    command.submission().id(), new RelayResult.OwnerUnreachable("too many relays wait")));
        }
    }

    /** Opens a link to another entry for a while, if there is none; its frames tell which table it has in force. */
    void visit(String address) {
        duty.offer(new Step.Visit(address));
    }

    void onOpened(Link link) {
        duty.offer(new Step.Opened(link));
    }

    void onClosed(Link link) {
        duty.offer(new Step.Closed(link));
    }

    void onRelayAnswer(RelayAnswer answer) {
        duty.offer(new Step.Answered(answer));
    }

    /** Takes a relayed submission from another entry: it arrives here as if its client had come here. */
    void onRelay(Link link, Relay relay) {
        Submission submission = FrameFactory.submission(relay, clock.instant());
        long number = relay.getRelayNumber();
        long waiter = waiters.register((ignored, answer) -> link.send(FrameFactory.answer(number, answer)));
        events.accept(new EntryEvent.SubmissionArrived(submission, waiter, true));
    }

    /** What the duty's ring carries. */
    private sealed interface Step {
        /** A submission is to be relayed. */
        record Begin(EntryMachineCommand.RelayToOwner command) implements Step {}

        /** Another entry is to be visited. */
        record Visit(String address) implements Step {}

        /** A link to another entry opened. */
        record Opened(Link link) implements Step {}

        /** A link to another entry closed. */
        record Closed(Link link) implements Step {}

        /** An owner answered. */
        record Answered(RelayAnswer answer) implements Step {}
    }

    /** A relay without an answer yet. */
    private record Pending(EntryMachineCommand.RelayToOwner command, Instant since, Optional<Link> via) {
        private boolean isSent() {
            return via.isPresent();
        }
    }

    private final class Work implements QueueWorker.Handler<Step> {
        @Override
        public void onBatch(List<Step> batch) {
            for (Step step : batch) {
                switch (step) {
                    case Step.Begin(EntryMachineCommand.RelayToOwner command) -> begin(command);
                    case Step.Visit(String address) -> open(address);
                    case Step.Opened(Link link) -> opened(link);
                    case Step.Closed(Link link) -> closed(link);
                    case Step.Answered(RelayAnswer answer) -> answered(answer);
                }
            }
        }

        @Override
        public void onInterval() {
            Instant now = clock.instant();
            for (Map.Entry<Long, Pending> entry : List.copyOf(pending.entrySet())) {
                Pending relay = entry.getValue();
                if (!relay.isSent() && !now.isBefore(relay.since().plus(OPEN_TIMEOUT))) {
                    settle(entry.getKey(), new RelayResult.OwnerUnreachable("its owner does not answer"));
                }
            }
            for (Map.Entry<String, Instant> use : List.copyOf(lastUse.entrySet())) {
                boolean idle = !now.isBefore(use.getValue().plus(IDLE_TIMEOUT));
                if (idle && pending.values().stream().noneMatch(relay -> isFor(relay, use.getKey()))) {
                    lastUse.remove(use.getKey());
                    endpoint.disconnect(use.getKey());
                }
            }
        }
    }

    private void begin(EntryMachineCommand.RelayToOwner command) {
        long number = ++lastNumber;
        pending.put(number, new Pending(command, clock.instant(), Optional.empty()));
        lastUse.put(command.ownerAddress(), clock.instant());
        sendOrConnect(number, command.ownerAddress());
    }

    private void sendOrConnect(long number, String address) {
        Optional<Link> link = links.getOrDefault(address, Set.of()).stream().findFirst();
        if (link.isPresent()) {
            send(number, link.get());
        } else {
            endpoint.connect(address);
        }
    }

    private void open(String address) {
        if (links.getOrDefault(address, Set.of()).isEmpty()) {
            lastUse.put(address, clock.instant());
            endpoint.connect(address);
        }
    }

    private void opened(Link link) {
        String address = link.peer().linkAddress();
        if (!lastUse.containsKey(address)) {
            return;
        }
        links.computeIfAbsent(address, ignored -> new LinkedHashSet<>()).add(link);
        List.copyOf(pending.keySet()).stream()
                .filter(number -> isFor(pending.get(number), address))
                .filter(number -> !pending.get(number).isSent())
                .forEach(number -> send(number, link));
    }

    private void send(long number, Link link) {
        Pending relay = pending.get(number);
        ProcessId owner = relay.command().owner();
        if (!link.peer().process().equals(owner)) {
            settle(number, new RelayResult.OwnerUnreachable("its owner " + owner + " is gone"));
            return;
        }
        if (link.send(FrameFactory.relay(relay.command().submission(), number, clock.instant()))) {
            pending.put(number, new Pending(relay.command(), relay.since(), Optional.of(link)));
        }
    }

    /** Sends the relays of a lost link again; the owner takes them for further waits for the same submission. */
    private void closed(Link link) {
        String address = link.peer().linkAddress();
        Set<Link> open = links.getOrDefault(address, Set.of());
        if (!open.remove(link)) {
            return;
        }
        for (Map.Entry<Long, Pending> entry : List.copyOf(pending.entrySet())) {
            Pending relay = entry.getValue();
            if (relay.via().filter(link::equals).isPresent()) {
                pending.put(entry.getKey(), new Pending(relay.command(), clock.instant(), Optional.empty()));
                sendOrConnect(entry.getKey(), address);
            }
        }
    }

    private void answered(RelayAnswer answer) {
        if (pending.containsKey(answer.getRelayNumber())) {
            settle(answer.getRelayNumber(), new RelayResult.Answered(FrameFactory.answer(answer)));
        }
    }

    private void settle(long number, RelayResult reply) {
        Pending relay = pending.remove(number);
        events.accept(new EntryEvent.RelaySettled(relay.command().submission().id(), reply));
    }

    private static boolean isFor(Pending relay, String address) {
        return relay.command().ownerAddress().equals(address);
    }
}
