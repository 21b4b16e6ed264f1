package io.caperturn.wire;

import io.caperturn.kernel.EventLine;
import io.caperturn.wire.internal.LinkChannels;
import io.caperturn.wire.internal.LinkHandler;
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
 * Endpoint of all links (connections to other processes) of a process: accepts links, opens links, and reopens lost
 * links that it opened.
 *
 * <p>All network work runs on one thread, so the listener is notified of links and frames in order. If a process opens
 * a second link to this process, the new link replaces the old one; the listener is notified first that the old link is
 * closed, then that the new one is open.
 */
public final class LinkEndpoint implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(LinkEndpoint.class.getName());
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 500;

    private final LinkEndpointSettings settings;
    private final LinkChannels linkChannels;
    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, DesiredLink> desiredLinks = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates an endpoint without links.
     *
     * @param settings identity of this process, and times and bounds of its links
     * @param tableVersionExchange supplier and receiver of the versions of the operators' table that frames carry
     * @param listener listener for links and frames
     */
    public LinkEndpoint(
            LinkEndpointSettings settings, TableVersionExchange tableVersionExchange, LinkListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.linkChannels = new LinkChannels(settings, tableVersionExchange, listener);
    }

    /**
     * Accepts links at an address, and sends the address in the hello frames of links opened from then on.
     *
     * @param host the IP address to bind
     * @param port the port to bind, 0 for any free port
     * @return the bound address
     * @throws IOException if the address can't be bound
     */
    public InetSocketAddress listen(String host, int port) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(linkChannels.acceptedLinkInitializer());
        try {
            InetSocketAddress bound = (InetSocketAddress)
                    bootstrap.bind(host, port).sync().channel().localAddress();
            linkChannels.setLinkAddress(host + ":" + bound.getPort());
            return bound;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + host + ":" + port, e);
        } catch (RuntimeException e) {
            throw new IOException("can't bind " + host + ":" + port, e);
        }
    }

    /**
     * Keeps a link to an address open until {@link #disconnect}, reopening it whenever it is lost.
     *
     * @param address the address as {@code host:port}
     */
    public void connect(String address) {
        DesiredLink desiredLink = new DesiredLink(address);
        if (desiredLinks.putIfAbsent(address, desiredLink) == null) {
            open(desiredLink);
        }
    }

    /**
     * Closes the link to an address and stops reopening it.
     *
     * @param address the address as {@code host:port}
     */
    public void disconnect(String address) {
        DesiredLink desiredLink = desiredLinks.remove(address);
        if (desiredLink != null && desiredLink.channel != null) {
            desiredLink.channel.close();
        }
    }

    /** Sends all queued frames, closes all links and stops accepting links. */
    @Override
    public void close() {
        closed = true;
        desiredLinks.clear();
        linkChannels.shutDownOutputs(SHUTDOWN_TIMEOUT_MILLISECONDS);
        eventLoopGroup
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2L * SHUTDOWN_TIMEOUT_MILLISECONDS);
    }

    private void open(DesiredLink desiredLink) {
        if (!isDesired(desiredLink)) {
            return;
        }
        int colon = desiredLink.address.lastIndexOf(':');
        InetSocketAddress target = new InetSocketAddress(
                desiredLink.address.substring(0, colon), Integer.parseInt(desiredLink.address.substring(colon + 1)));
        new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(linkChannels.openedLinkInitializer())
                .connect(target)
                .addListener((io.netty.channel.ChannelFuture opened) -> {
                    if (!opened.isSuccess()) {
                        LOGGER.log(
                                System.Logger.Level.DEBUG,
                                () -> EventLine.of("link-not-opened")
                                        .with("address", desiredLink.address)
                                        .with("reason", opened.cause())
                                        .toString());
                        scheduleReopen(desiredLink);
                        return;
                    }
                    attach(desiredLink, opened.channel());
                });
    }

    private void attach(DesiredLink desiredLink, Channel channel) {
        desiredLink.channel = channel;
        channel.closeFuture().addListener(ignored -> scheduleReopen(desiredLink));
        if (!isDesired(desiredLink)) {
            channel.close();
        }
    }

    private void scheduleReopen(DesiredLink desiredLink) {
        if (!isDesired(desiredLink)) {
            return;
        }
        // The random part keeps processes that lost their links at the same time from reconnecting all at once.
        long delay = settings.reconnectDelay().toMillis();
        long jitteredDelay = delay / 2 + ThreadLocalRandom.current().nextLong(delay + 1);
        eventLoopGroup.schedule(() -> open(desiredLink), jitteredDelay, TimeUnit.MILLISECONDS);
    }

    private boolean isDesired(DesiredLink desiredLink) {
        return !closed && desiredLinks.get(desiredLink.address) == desiredLink;
    }

    /**
     * Returns the number of open links whose peers have identified themselves.
     *
     * @return the number
     */
    public int openLinkCount() {
        return LinkHandler.countOpenLinks(linkChannels);
    }

    /** Link to keep open from one call of {@link #connect} to {@link #disconnect}; each call has its own instance. */
    private static final class DesiredLink {
        private final String address;
        private volatile Channel channel;

        private DesiredLink(String address) {
            this.address = address;
        }
    }
}
