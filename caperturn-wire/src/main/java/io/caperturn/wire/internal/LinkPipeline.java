package io.caperturn.wire.internal;

import io.caperturn.wire.FrameStamp;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.LinkSettings;
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

/** Factory of the handlers of each link, and what the links of one endpoint share. */
public final class LinkPipeline {
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int SEND_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024;
    private static final int FLUSH_CONSOLIDATION_FRAMES = 64;

    private final LinkSettings settings;
    private final FrameStamp stamp;
    private final LinkListener listener;
    private final Map<String, LinkHandler> accepted = new HashMap<>();
    private final AtomicInteger open = new AtomicInteger();
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile String linkAddress;

    /**
     * Creates the factory.
     *
     * @param settings the endpoint's settings
     * @param stamp what every frame carries besides its body
     * @param listener receiver of links and frames
     */
    public LinkPipeline(LinkSettings settings, FrameStamp stamp, LinkListener listener) {
        this.settings = settings;
        this.stamp = stamp;
        this.listener = listener;
        this.linkAddress = settings.self().linkAddress();
    }

    /**
     * Notes where this process accepts links, once that is known.
     *
     * @param address the address as {@code host:port}
     */
    public void advertise(String address) {
        linkAddress = address;
    }

    String linkAddress() {
        return linkAddress;
    }

    /**
     * Returns the initializer of links that others open.
     *
     * @return the initializer
     */
    public ChannelHandler accepting() {
        return initializer(true);
    }

    /**
     * Returns the initializer of links that this process opens.
     *
     * @return the initializer
     */
    public ChannelHandler opening() {
        return initializer(false);
    }

    /**
     * Sends what is queued on every link and ends its output, then waits until the peers have closed their ends.
     *
     * <p>Closing at once could reset a connection on which unread bytes wait, and lose what was sent last.
     *
     * @param timeoutMilliseconds the longest wait
     */
    public void finish(long timeoutMilliseconds) {
        for (Channel channel : channels) {
            LinkHandler handler = channel.pipeline().get(LinkHandler.class);
            if (handler != null) {
                handler.finish();
            }
        }
        channels.newCloseFuture().awaitUninterruptibly(timeoutMilliseconds);
    }

    LinkSettings settings() {
        return settings;
    }

    FrameStamp stamp() {
        return stamp;
    }

    LinkListener listener() {
        return listener;
    }

    Map<String, LinkHandler> accepted() {
        return accepted;
    }

    AtomicInteger open() {
        return open;
    }

    private ChannelHandler initializer(boolean accepting) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                channel.config()
                        .setWriteBufferWaterMark(
                                new WriteBufferWaterMark(SEND_BUFFER_LIMIT_BYTES / 2, SEND_BUFFER_LIMIT_BYTES));
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(FLUSH_CONSOLIDATION_FRAMES, true))
                        .addLast(new IdleStateHandler(
                                settings.silenceTimeout().toMillis(),
                                settings.heartbeatInterval().toMillis(),
                                0,
                                TimeUnit.MILLISECONDS))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                settings.maximumFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                        .addLast(new LinkHandler(LinkPipeline.this, accepting));
            }
        };
    }
}
