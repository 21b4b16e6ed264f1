package io.caperturn.wire;

import io.caperturn.kernel.EventLine;
import io.caperturn.wire.internal.LinkHandler;
import io.caperturn.wire.internal.LinkPipeline;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * End of all links of one process: accepts links, opens links, and keeps opened ones alive.
 *
 * <p>All network work runs on one thread, so the listener hears of links and frames in order. An accepted link from a
 * process that already has one replaces the earlier link; the listener hears of the closing first.
 */
public final class LinkEndpoint implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(LinkEndpoint.class.getName());
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 500;

    private final LinkSettings settings;
    private final LinkPipeline pipeline;
    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Wish> wanted = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates an endpoint without links.
     *
     * @param settings what this process says of itself, and the times that links keep to
     * @param stamp what every frame carries besides its body
     * @param listener receiver of links and frames
     */
    public LinkEndpoint(LinkSettings settings, FrameStamp stamp, LinkListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.pipeline = new LinkPipeline(settings, stamp, listener);
    }

    /**
     * Accepts links at an address, and says so on links opened from then on.
     *
     * @param host the address to bind, an IP number
     * @param port the port to bind, 0 for any
     * @return the address bound
     * @throws IOException if it can't be bound
     */
    public InetSocketAddress listen(String host, int port) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(network)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline.accepting());
        try {
            InetSocketAddress bound = (InetSocketAddress)
                    bootstrap.bind(host, port).sync().channel().localAddress();
            pipeline.advertise(host + ":" + bound.getPort());
            return bound;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + host + ":" + port, e);
        } catch (RuntimeException e) {
            throw new IOException("can't bind " + host + ":" + port, e);
        }
    }

    /**
     * Keeps a link open to an address until {@link #disconnect}; opens it again whenever it is lost.
     *
     * @param address the address as {@code host:port}
     */
    public void connect(String address) {
        Wish wish = new Wish(address);
        if (wanted.putIfAbsent(address, wish) == null) {
            open(wish);
        }
    }

    /**
     * Closes the link to an address and no longer keeps it.
     *
     * @param address the address as {@code host:port}
     */
    public void disconnect(String address) {
        Wish wish = wanted.remove(address);
        if (wish != null && wish.channel != null) {
            wish.channel.close();
        }
    }

    /** Sends what is still queued, closes all links and stops accepting. */
    @Override
    public void close() {
        closed = true;
        wanted.clear();
        pipeline.finish(SHUTDOWN_TIMEOUT_MILLISECONDS);
        network.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2L * SHUTDOWN_TIMEOUT_MILLISECONDS);
    }

    private void open(Wish wish) {
        if (!isWanted(wish)) {
            return;
        }
        int colon = wish.address.lastIndexOf(':');
        InetSocketAddress target = new InetSocketAddress(
                wish.address.substring(0, colon), Integer.parseInt(wish.address.substring(colon + 1)));
        new Bootstrap()
                .group(network)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(pipeline.opening())
                .connect(target)
                .addListener((io.netty.channel.ChannelFuture opened) -> {
                    if (!opened.isSuccess()) {
                        LOGGER.log(
                                System.Logger.Level.DEBUG,
                                () -> EventLine.of("link-not-opened")
                                        .with("address", wish.address)
                                        .with("reason", opened.cause())
                                        .toString());
                        openLater(wish);
                        return;
                    }
                    keep(wish, opened.channel());
                });
    }

    private void keep(Wish wish, Channel channel) {
        wish.channel = channel;
        channel.closeFuture().addListener(ignored -> openLater(wish));
        if (!isWanted(wish)) {
            channel.close();
        }
    }

    private void openLater(Wish wish) {
        if (!isWanted(wish)) {
            return;
        }
        long delay = settings.reconnectDelay().toMillis();
        long jittered = delay / 2 + ThreadLocalRandom.current().nextLong(delay + 1);
        network.schedule(() -> open(wish), jittered, TimeUnit.MILLISECONDS);
    }

    private boolean isWanted(Wish wish) {
        return !closed && wanted.get(wish.address) == wish;
    }

    /**
     * Returns the number of links that are open and have said who they are.
     *
     * @return the number
     */
    public int openLinks() {
        return LinkHandler.countOpen(pipeline);
    }

    /** One call of {@link #connect}, until {@link #disconnect}; a later one for the same address is another. */
    private static final class Wish {
        private final String address;
        private volatile Channel channel;

        private Wish(String address) {
            this.address = address;
        }
    }
}
