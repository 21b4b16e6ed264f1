package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.platform.MetricsListener;
import io.caperturn.platform.PlatformSettings;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * Main class of an entry, the process that accepts jobs, or a sidecar, which starts their tasks at an upstream, the
 * process that runs them.
 *
 * <p>Usage: {@code Main entry [METRICS_PORT]} or {@code Main sidecar [METRICS_PORT]}.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Starts an entry or a sidecar.
     *
     * @param arguments the role, {@code entry} or {@code sidecar}, and optionally the port at which metrics are served
     * @throws IOException if the role is unknown, or the settings can't be read or name no upstream for a sidecar
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length < 1 || arguments.length > 2) {
            System.err.println("usage: (entry | sidecar) [metrics port]");
            System.exit(EXIT_USAGE);
        }
        configureNetty();
        PlatformSettings settings = PlatformSettings.load();
        EventLog log = new EventLog(settings.node(), new FileOutputStream(FileDescriptor.out));
        log.event(EventName.START, EventKey.ROLE, arguments[0], EventKey.ZONE, settings.zone());
        EventLoop eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ProcessLoop loop = new ProcessLoop(eventLoop, log);
        Runnable stop;
        Consumer<InetSocketAddress> metricsListener;
        switch (arguments[0]) {
            case "entry" -> {
                EntryApplication application = new EntryApplication(eventLoop, loop, settings);
                metricsListener = address -> application.listenForMetrics(address, log::metrics);
                eventLoop.submit(application::start).syncUninterruptibly();
                application.listen();
                stop = application::stop;
            }
            case "sidecar" -> {
                InetSocketAddress upstream = settings.upstream()
                        .orElseThrow(() -> new IOException("the settings name no upstream for a sidecar"));
                SidecarApplication application = new SidecarApplication(eventLoop, loop, settings, upstream);
                metricsListener = address -> MetricsListener.listen(eventLoop, address, log::metrics);
                eventLoop.submit(application::start).syncUninterruptibly();
                application.listen();
                stop = application::stop;
            }
            default -> throw new IOException("unknown role '" + arguments[0] + "'");
        }
        if (arguments.length == 2) {
            String host = settings.linkAddress().getHostString();
            metricsListener.accept(new InetSocketAddress(host, Integer.parseInt(arguments[1])));
        }
        log.event(EventName.LISTENING, EventKey.ROLE, arguments[0]);
        new SettingsWatcher(loop, PlatformSettings.path(), settings).start();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stop.run();
                            log.event(EventName.STOP, EventKey.ROLE, arguments[0]);
                            log.close();
                        },
                        "stop"));
    }

    /**
     * Disables Netty's search for a hardware address and its buffer pools, which cost time and memory at start-up, and
     * its use of {@code sun.misc.Unsafe}.
     */
    private static void configureNetty() {
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noUnsafe", "true");
    }

    /**
     * Returns the name of a new incarnation, which distinguishes a process from its predecessors on the same node.
     *
     * <p>It consists of the node, {@code ~}, the time in milliseconds and a random number, both in hexadecimal.
     */
    static String newIncarnation(String node) {
        return node + "~" + Long.toHexString(System.currentTimeMillis())
                + Integer.toHexString(ThreadLocalRandom.current().nextInt());
    }
}
