package io.caperturn.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an unexpected exception ends one action of a process only, and is found in its log. */
class ProcessLoopTest {
    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void laterActionsRunAfterAnException(long delayMilliseconds) throws InterruptedException {
        DefaultEventLoop eventLoop = new DefaultEventLoop();
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        CountDownLatch laterActionRan = new CountDownLatch(1);
        try (EventLog log = new EventLog("node", output)) {
            ProcessLoop loop = new ProcessLoop(eventLoop, log);
            loop.after(delayMilliseconds, () -> {
                throw new IllegalStateException("unexpected");
            });
            loop.after(delayMilliseconds + 1, laterActionRan::countDown);
            assertTrue(laterActionRan.await(10, TimeUnit.SECONDS));
        } finally {
            eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        String line = output.toString(StandardCharsets.UTF_8);
        assertTrue(line.contains("event=exception") && line.contains("unexpected"), line);
    }
}
