package io.caperturn.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an address which is no IP address is not looked up on the event loop, and keeps no other link closed. */
class LinkAddressTest {
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Listener that completes a future when a link opens. */
    private record OpenedLink(CompletableFuture<String> node) implements LinkManager.Listener {
        @Override
        public void linkOpened(JobFrame.Hello peer) {
            node.complete(peer.node());
        }

        @Override
        public void linkLost(JobFrame.Hello peer) {}

        @Override
        public void frameReceived(JobFrame.Hello peer, JobFrame frame) {}
    }

    @ParameterizedTest
    @ValueSource(strings = {"odd.invalid:80", "999.1.1.1:80", "[::1:80", " :80", "10.0.0:80", "http://10.0.0.1:80"})
    void otherLinksOpenBesideAnOddAddress(String oddAddress) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        CompletableFuture<String> opened = new CompletableFuture<>();
        try (EventLog log = new EventLog("node", output)) {
            EventLoop eventLoop = group.next();
            ProcessLoop loop = new ProcessLoop(eventLoop, log);
            int port = freePort();
            LinkManager accepting = new LinkManager(eventLoop, loop, new OpenedLink(new CompletableFuture<>()));
            accepting.setIdentity(new JobFrame.Hello(ProcessRole.ENTRY, "peer", "peer~1", "zone"));
            accepting.listen(new InetSocketAddress("127.0.0.1", port));
            LinkManager connecting = new LinkManager(eventLoop, loop, new OpenedLink(opened));
            connecting.setIdentity(new JobFrame.Hello(ProcessRole.SIDECAR, "node", "node~1", "zone"));
            eventLoop.submit(() -> connecting.connect(oddAddress)).syncUninterruptibly();
            eventLoop.submit(() -> connecting.connect("127.0.0.1:" + port)).syncUninterruptibly();
            assertEquals("peer", opened.get(20, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        long faults = output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("event=link-fault") && line.contains("no IP address"))
                .count();
        assertEquals(1, faults, output::toString);
        assertTrue(opened.isDone());
    }
}
