package io.caperturn.proofs.measurement;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.Peer;
import io.caperturn.wire.TableVersionExchange;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Role;
import io.caperturn.wire.message.TableRequest;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Minimal sidecar that connects to an entry process by a link, announces an upstream, follows the operators' table and
 * runs no tasks.
 */
final class IdleSidecar implements LinkListener, TableVersionExchange, AutoCloseable {
    private static final int MAXIMUM_FRAME_BYTES = 1 << 20;
    private static final int SLOTS = 8;

    private final UpstreamDescription upstream;
    private final LinkEndpoint endpoint;
    private final AtomicLong newestTableVersion = new AtomicLong();
    private final AtomicLong tableVersionsReceived = new AtomicLong();

    IdleSidecar(int number, String entryAddress) {
        String name = "peer-" + number;
        upstream = new UpstreamDescription(name, Set.of("assay"), SLOTS, SLOTS, "worker", "rack", "zone-a");
        // Heartbeat interval, silence time-out and reconnect delay.
        endpoint = new LinkEndpoint(
                new LinkEndpointSettings(
                        new Peer(new ProcessId(name, 1), Role.ROLE_SIDECAR, "zone-a", ""),
                        Duration.ofSeconds(1),
                        Duration.ofMillis(3_500),
                        Duration.ofMillis(250),
                        MAXIMUM_FRAME_BYTES),
                this,
                this);
        endpoint.connect(entryAddress);
    }

    long tableVersionsReceived() {
        return tableVersionsReceived.get();
    }

    @Override
    public void onOpened(Link link) {
        link.send(Frame.newBuilder().setUpstream(MessageCodec.toMessage(upstream, true, SLOTS)));
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        if (frame.hasTableRows()) {
            newestTableVersion.accumulateAndGet(frame.getTableRows().getVersion(), Math::max);
        }
    }

    @Override
    public void onClosed(Link link, String reason) {
        // A lost link shows in the measurement, because the table version stays behind.
    }

    @Override
    public long tableVersion() {
        return newestTableVersion.get();
    }

    @Override
    public long confirmationAgeMilliseconds() {
        // None is known.
        return -1;
    }

    @Override
    public void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds) {
        tableVersionsReceived.incrementAndGet();
        if (tableVersion > newestTableVersion.get()) {
            link.send(Frame.newBuilder()
                    .setTableRequest(TableRequest.newBuilder()
                            .setKnownVersion(newestTableVersion.get())
                            .addAllKinds(upstream.kinds())));
        }
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
