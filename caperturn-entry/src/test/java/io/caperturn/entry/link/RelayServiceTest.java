package io.caperturn.entry.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.RelayResult;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskResult;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.Peer;
import io.caperturn.wire.TableVersionExchange;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Role;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link RelayService} with an owner, the entry to which a submission is relayed, over a real connection. An
 * incarnation is one start of a process.
 */
class RelayServiceTest {
    private static final int ARRIVAL_TIMEOUT_SECONDS = 10;
    private static final ProcessId OWNER = new ProcessId("owner", /* incarnation= */ 7);
    private static final Answer ANSWER = new Answer.Complete(List.of(new TaskResult("t1", "1")));

    private final BlockingQueue<EntryEvent> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> linksWithRelay = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final TestEntry owner = new TestEntry(OWNER);
    private final TestEntry self = new TestEntry(new ProcessId("self", /* incarnation= */ 1));
    private RelayService relays;
    private String address;

    @BeforeEach
    void start() throws IOException {
        owner.frameHandler = (link, frame) -> {
            frames.add(frame);
            linksWithRelay.add(link);
        };
        address = "127.0.0.1:" + owner.endpoint.listen("127.0.0.1", 0).getPort();
        self.endpoint.listen("127.0.0.1", 0);
        relays = new RelayService(self.endpoint, events::add, events::add, new WaiterRegistry(), Clock.systemUTC());
        self.openedHandler = relays::onOpened;
        self.closedHandler = relays::onClosed;
        self.frameHandler = (link, frame) -> relays.onRelayAnswer(frame.getRelayAnswer());
        relays.start();
    }

    @AfterEach
    void stop() {
        relays.stop();
        self.endpoint.close();
        owner.endpoint.close();
    }

    @Test
    void answerOfOwnerCompletesRelay() throws InterruptedException {
        relays.relayToOwner(createRelayCommand(OWNER));
        sendAnswer(takeNext(linksWithRelay));
        assertEquals(new RelayResult.Answered(ANSWER), takeRelayResult());
    }

    @Test
    void relayIsSentAgainAfterLinkLoss() throws InterruptedException {
        relays.relayToOwner(createRelayCommand(OWNER));
        takeNext(linksWithRelay).close();
        sendAnswer(takeNext(linksWithRelay));
        assertEquals(new RelayResult.Answered(ANSWER), takeRelayResult());
    }

    @Test
    void newIncarnationAtOwnersAddressIsReportedAsUnreachableOwner() throws InterruptedException {
        relays.relayToOwner(createRelayCommand(new ProcessId(OWNER.name(), OWNER.incarnation() - 1)));
        assertInstanceOf(RelayResult.OwnerUnreachable.class, takeRelayResult());
    }

    @Test
    void ownerLostDuringRelayIsReportedAsUnreachable() throws InterruptedException {
        relays.relayToOwner(createRelayCommand(OWNER));
        takeNext(linksWithRelay);
        owner.endpoint.close();
        assertInstanceOf(RelayResult.OwnerUnreachable.class, takeRelayResult());
    }

    /** Answers the first relayed submission on a link. */
    private void sendAnswer(Link link) throws InterruptedException {
        Frame frame = frames.peek();
        link.send(EntryFrameCodec.encodeAnswer(frame.getRelay().getRelayNumber(), ANSWER));
    }

    private RelayResult takeRelayResult() throws InterruptedException {
        return assertInstanceOf(EntryEvent.RelaySettled.class, takeNext(events)).result();
    }

    private static <T> T takeNext(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(ARRIVAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(element, "nothing arrived in time");
        return element;
    }

    private EntryMachineCommand.RelayToOwner createRelayCommand(ProcessId ownerProcess) {
        Submission submission = new Submission(
                new SubmissionId("lab", "job"),
                "assay",
                Optional.empty(),
                Repeatability.AT_MOST_ONCE,
                Instant.now().plusSeconds(60),
                "digest",
                List.of(new TaskSpec("t1", Optional.empty(), "{}")));
        return new EntryMachineCommand.RelayToOwner(submission, ownerProcess, address);
    }

    /** Entry that only opens and accepts links and passes their events to handlers. */
    private static final class TestEntry implements LinkListener, TableVersionExchange {
        private final LinkEndpoint endpoint;
        private Consumer<Link> openedHandler = link -> {};
        private Consumer<Link> closedHandler = link -> {};
        private java.util.function.BiConsumer<Link, Frame> frameHandler = (link, ignored) -> {};

        private TestEntry(ProcessId process) {
            endpoint = new LinkEndpoint(
                    new LinkEndpointSettings(
                            new Peer(process, Role.ROLE_ENTRY, "zone", /* linkAddress= */ ""),
                            /* heartbeatInterval= */ Duration.ofMillis(200),
                            /* silenceTimeout= */ Duration.ofSeconds(5),
                            /* reconnectDelay= */ Duration.ofMillis(20),
                            /* maximumFrameBytes= */ 1 << 20),
                    /* tableVersionExchange= */ this,
                    /* listener= */ this);
        }

        @Override
        public void onOpened(Link link) {
            openedHandler.accept(link);
        }

        @Override
        public void onFrame(Link link, Frame received) {
            frameHandler.accept(link, received);
        }

        @Override
        public void onClosed(Link link, String reason) {
            closedHandler.accept(link);
        }

        @Override
        public long tableVersion() {
            return 0;
        }

        @Override
        public long confirmationAgeMilliseconds() {
            // Not known.
            return -1;
        }

        @Override
        public void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds) {
            // The relay service does not use table versions.
        }
    }
}
