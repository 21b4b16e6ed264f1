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

/**
 * Start of an entry or a sidecar on the users' platform: {@code Main entry} or {@code Main sidecar}, and optionally the
 * port at which its metrics are served.
 */
public final class Main {
    private static final int USAGE = 2;

    private Main() {}

    /**
     * Starts a process.
     *
     * @param arguments {@code entry} or {@code sidecar}, and optionally a port for metrics
     * @throws IOException if the settings can't be used
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length < 1 || arguments.length > 2) {
            System.err.println("usage: (entry | sidecar) [metrics port]");
            System.exit(USAGE);
        }
        prepareNetty();
        PlatformSettings settings = PlatformSettings.load();
        EventLog log = new EventLog(settings.node(), new FileOutputStream(FileDescriptor.out));
        log.event(EventName.START, EventKey.ROLE, arguments[0], EventKey.ZONE, settings.zone());
        EventLoop network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ProcessLoop loop = new ProcessLoop(network, log);
        Runnable stop;
        switch (arguments[0]) {
            case "entry" -> {
                EntryProgram program = new EntryProgram(network, loop, settings);
                network.submit(program::start).syncUninterruptibly();
                program.listen();
                stop = program::stop;
            }
            case "sidecar" -> {
                InetSocketAddress upstream = settings.upstream()
                        .orElseThrow(() -> new IOException("the settings name no upstream for a sidecar"));
                SidecarProgram program = new SidecarProgram(network, loop, settings, upstream);
                network.submit(program::start).syncUninterruptibly();
                program.listen();
                stop = program::stop;
            }
            default -> throw new IOException("unknown role '" + arguments[0] + "'");
        }
        if (arguments.length == 2) {
            String host = settings.linkAddress().getHostString();
            MetricsListener.listen(network, new InetSocketAddress(host, Integer.parseInt(arguments[1])), log::metrics);
        }
        log.event(EventName.LISTENING, EventKey.ROLE, arguments[0]);
        new SettingsWatch(loop, PlatformSettings.path(), settings).start();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stop.run();
                            log.event(EventName.STOP, EventKey.ROLE, arguments[0]);
                            log.close();
                        },
                        "stop"));
    }

    /** Spares Netty its search for a hardware address and its pools, which cost time and memory at the start. */
    private static void prepareNetty() {
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noUnsafe", "true");
    }

    /** Gives a life of a process its name. */
    static String incarnation(String node) {
        return node + "~" + Long.toHexString(System.currentTimeMillis())
                + Integer.toHexString(ThreadLocalRandom.current().nextInt());
    }
}
