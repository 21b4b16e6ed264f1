package io.caperturn.fleet;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobFrameCodec;
import io.caperturn.kernel.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Manager of the links of one process.
 *
 * <p>A link is a TCP connection between two processes, which carries messages called frames. Two processes have at most
 * one link; the side that opened it opens it again when it is lost. Both sides first send a {@link JobFrame.Hello} that
 * identifies them. A new link from a process replaces the earlier one, whose remaining frames are ignored.
 */
final class LinkManager implements LinkPort {
    /** Maximum size of a frame, in bytes: enough for a list of a few thousand runs of tasks. */
    private static final int MAXIMUM_FRAME_BYTES = 1 << 20;
    /**
     * Time without a received frame after which a link is closed, in milliseconds: more than twice the maximum interval
     * of heartbeats, which is that of status frames to entries without runs, and of their answers.
     */
    private static final long READ_TIMEOUT_MILLISECONDS = 1_800;
    /** Delay before a link that was lost or could not be opened is opened again, in milliseconds. */
    private static final long RECONNECT_DELAY_MILLISECONDS = 150;

    private static final int CONNECT_TIMEOUT_MILLISECONDS = 700;
    private static final int LENGTH_FIELD_BYTES = 4;
    /**
     * Maximum number of unsent bytes of a link, a few seconds of its normal traffic; with more, the peer counts as
     * unresponsive and the link is closed.
     */
    private static final long MAXIMUM_UNSENT_BYTES = 4 << 20;

    private final EventLoop eventLoop;
    private final DecisionLoop loop;
    private final Listener listener;
    /** Destinations by address. */
    private final Map<String, Destination> destinations = new HashMap<>();
    /** Links to identified processes, by the incarnation (identity of one start) of the process. */
    private final Map<String, Link> links = new HashMap<>();

    private JobFrame.Hello ownHello;

    LinkManager(EventLoop eventLoop, DecisionLoop loop, Listener listener) {
        this.eventLoop = eventLoop;
        this.loop = loop;
        this.listener = listener;
    }

    /** Listener for opened and lost links and for received frames; called on the event loop. */
    interface Listener {
        /** Handles the opening of a link to a process. */
        void linkOpened(JobFrame.Hello peer);

        /** Handles the loss of the link to a process. */
        void linkLost(JobFrame.Hello peer);

        /** Handles a frame received from a process. */
        void frameReceived(JobFrame.Hello peer, JobFrame frame);
    }

    /** Sets the identity of this process; links opened under an earlier identity are closed. */
    void setIdentity(JobFrame.Hello hello) {
        ownHello = hello;
        for (Link link : Map.copyOf(links).values()) {
            link.channel.close();
        }
    }

    void listen(InetSocketAddress address) {
        new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializePipeline(channel, /* destination= */ null);
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    /**
     * Keeps a link to an address, {@code host:port}, open until {@link #disconnect} is called. The host must be an IP
     * address: the lookup of a name would block the event loop.
     */
    void connect(String address) {
        String host = HostAndPort.parse(address).host();
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            loop.log()
                    .event(
                            EventName.LINK_FAULT,
                            EventKey.CAUSE,
                            "'" + address + "' is no IP address with a port",
                            EventKey.ACTION,
                            "ignored");
            return;
        }
        if (!destinations.containsKey(address)) {
            Destination destination = new Destination(address);
            destinations.put(address, destination);
            open(destination);
        }
    }

    void disconnect(String address) {
        Destination destination = destinations.remove(address);
        if (destination != null && destination.channel != null) {
            destination.channel.close();
        }
    }

    @Override
    public void send(String incarnation, JobFrame frame) {
        Link link = links.get(incarnation);
        if (link != null) {
            link.write(frame);
        }
    }

    /** Address to which this process keeps a link open. */
    private static final class Destination {
        private final String address;
        private Channel channel;

        Destination(String address) {
            this.address = address;
        }
    }

    private void open(Destination destination) {
        // A destination that was disconnected is not opened again.
        if (destinations.get(destination.address) != destination) {
            return;
        }
        HostAndPort address = HostAndPort.parse(destination.address);
        InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());
        destination.channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializePipeline(channel, destination);
                    }
                })
                .connect(socketAddress)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        loop.after(RECONNECT_DELAY_MILLISECONDS, () -> open(destination));
                    }
                })
                .channel();
    }

    /** Sets up a connection; {@code destination} is null if the peer opened it. */
    private void initializePipeline(Channel channel, Destination destination) {
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(READ_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(
                                MAXIMUM_FRAME_BYTES,
                                /* lengthFieldOffset= */ 0,
                                LENGTH_FIELD_BYTES,
                                /* lengthAdjustment= */ 0,
                                /* initialBytesToStrip= */ LENGTH_FIELD_BYTES),
                        new Link(channel, destination));
    }

    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        /** Destination to which this process opened the link; null if the peer opened it. */
        private final Destination destination;
        /** Identity of the process at the other end; null until its hello is received. */
        private JobFrame.Hello peer;

        /** Whether a flush is scheduled, which sends all frames that are written until it runs. */
        private boolean flushScheduled;

        Link(Channel channel, Destination destination) {
            this.channel = channel;
            this.destination = destination;
        }

        void write(JobFrame frame) {
            // The outbound buffer of a closed channel is null.
            if (channel.bytesBeforeUnwritable() == 0
                    && channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAXIMUM_UNSENT_BYTES) {
                channel.close();
                return;
            }
            byte[] encoded = JobFrameCodec.encode(frame);
            channel.write(Unpooled.buffer(LENGTH_FIELD_BYTES + encoded.length)
                    .writeInt(encoded.length)
                    .writeBytes(encoded));
            if (!flushScheduled) {
                flushScheduled = true;
                eventLoop.execute(() -> {
                    flushScheduled = false;
                    channel.flush();
                });
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            write(ownHello);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws IOException {
            JobFrame frame = JobFrameCodec.decode(ByteBufUtil.getBytes(message));
            if (frame instanceof JobFrame.Hello hello && peer == null) {
                peer = hello;
                Link previous = links.put(hello.incarnation(), this);
                if (previous != null) {
                    previous.channel.close();
                    listener.linkLost(previous.peer);
                }
                loop.log()
                        .event(EventName.LINK, EventKey.NODE, hello.node(), EventKey.INCARNATION, hello.incarnation());
                listener.linkOpened(hello);
            } else if (peer != null && links.get(peer.incarnation()) == this) {
                listener.frameReceived(peer, frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (peer != null && links.remove(peer.incarnation(), this)) {
                loop.log()
                        .event(
                                EventName.LINK_LOST,
                                EventKey.NODE,
                                peer.node(),
                                EventKey.INCARNATION,
                                peer.incarnation());
                listener.linkLost(peer);
            }
            if (destination != null) {
                loop.after(RECONNECT_DELAY_MILLISECONDS, () -> open(destination));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            loop.log()
                    .event(EventName.LINK_FAULT, EventKey.NODE, peer == null ? "" : peer.node(), EventKey.CAUSE, cause);
            context.close();
        }
    }
}
