package io.caperturn.wire.internal;

import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.TableVersionExchange;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Shared state of the links of one endpoint, and factory of their Netty channel initializers. */
public final class LinkChannels {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAXIMUM_SEND_BUFFER_BYTES = 16 * 1024 * 1024;
    private static final int FRAMES_PER_FLUSH = 64;

    private final LinkEndpointSettings settings;
    private final TableVersionExchange tableVersionExchange;
    private final LinkListener listener;
    /** Links that other processes opened, by the peer's process name; used on the network thread only. */
    private final Map<String, LinkHandler> acceptedLinks = new HashMap<>();

    private final AtomicInteger openLinkCount = new AtomicInteger();
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile String linkAddress;

    /**
     * Creates the shared state of an endpoint without links.
     *
     * @param settings the endpoint's settings
     * @param tableVersionExchange supplier and receiver of the versions of the operators' table that frames carry
     * @param listener listener for links and frames
     */
    public LinkChannels(
            LinkEndpointSettings settings, TableVersionExchange tableVersionExchange, LinkListener listener) {
        this.settings = settings;
        this.tableVersionExchange = tableVersionExchange;
        this.listener = listener;
        this.linkAddress = settings.self().linkAddress();
    }

    /**
     * Sets the address on which this process accepts links, once it is known.
     *
     * @param address the address as {@code host:port}
     */
    public void setLinkAddress(String address) {
        linkAddress = address;
    }

    String linkAddress() {
        return linkAddress;
    }

    /**
     * Returns the channel initializer of links that other processes open.
     *
     * @return the initializer
     */
    public ChannelHandler acceptedLinkInitializer() {
        return newInitializer(/* accepted= */ true);
    }

    /**
     * Returns the channel initializer of links that this process opens.
     *
     * @return the initializer
     */
    public ChannelHandler openedLinkInitializer() {
        return newInitializer(/* accepted= */ false);
    }

    /**
     * Sends the queued frames of every link and shuts its output down, then waits until the peers have closed the
     * links.
     *
     * <p>Closing a connection at once while it has unread bytes could reset it, and lose the frames sent last.
     *
     * @param timeoutMilliseconds the maximum wait in milliseconds
     */
    public void shutDownOutputs(long timeoutMilliseconds) {
        for (Channel channel : channels) {
            LinkHandler handler = channel.pipeline().get(LinkHandler.class);
            if (handler != null) {
                handler.shutDownOutput();
            }
        }
        channels.newCloseFuture().awaitUninterruptibly(timeoutMilliseconds);
    }

    LinkEndpointSettings settings() {
        return settings;
    }

    TableVersionExchange tableVersionExchange() {
        return tableVersionExchange;
    }

    LinkListener listener() {
        return listener;
    }

    Map<String, LinkHandler> acceptedLinks() {
        return acceptedLinks;
    }

    AtomicInteger openLinkCount() {
        return openLinkCount;
    }

    private ChannelHandler newInitializer(boolean accepted) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                channel.config()
                        .setWriteBufferWaterMark(
                                new WriteBufferWaterMark(MAXIMUM_SEND_BUFFER_BYTES / 2, MAXIMUM_SEND_BUFFER_BYTES));
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(
                                FRAMES_PER_FLUSH, /* consolidateWhenNoReadInProgress= */ true))
                        .addLast(new IdleStateHandler(
                                settings.silenceTimeout().toMillis(),
                                settings.heartbeatInterval().toMillis(),
                                /* allIdleTime= */ 0,
                                TimeUnit.MILLISECONDS))
                        // Each frame is preceded by its length, which the decoder strips.
                        .addLast(new LengthFieldBasedFrameDecoder(
                                settings.maximumFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                        .addLast(new LinkHandler(LinkChannels.this, accepted));
            }
        };
    }
}
