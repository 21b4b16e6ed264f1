package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobFrameCodec;
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
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Links of one process: one for each other process, opened by either side, and opened again when it is lost.
 *
 * <p>Both sides say first who they are. A new link from a process replaces the earlier one, and nothing more is read
 * from that.
 */
final class LinkHub implements LinkPort {
    /** Largest frame, in bytes: an inventory of some thousand runs. */
    private static final int LARGEST_FRAME_BYTES = 1 << 20;
    /** Silence after which a link is given up, in milliseconds: four intervals of the slowest sign of life. */
    private static final long SILENCE_MILLISECONDS = 1_800;
    /** Pause before a lost link is opened again, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 150;

    private static final int CONNECT_MILLISECONDS = 700;
    private static final int LENGTH_BYTES = 4;
    /** Bytes that may wait to be sent on one link before it counts as silent: seconds of its usual traffic. */
    private static final long MOST_WAITING_BYTES = 4 << 20;

    private final EventLoop loop;
    private final DecisionLoop time;
    private final Listener listener;
    private final Map<String, Wish> wishes = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private JobFrame.Hello self;

    LinkHub(EventLoop loop, DecisionLoop time, Listener listener) {
        this.loop = loop;
        this.time = time;
        this.listener = listener;
    }

    /** Receiver of links and frames. */
    interface Listener {
        /** A link to a process is open. */
        void linked(JobFrame.Hello peer);

        /** The link to a process is lost. */
        void unlinked(JobFrame.Hello peer);

        /** A frame has come. */
        void received(JobFrame.Hello peer, JobFrame frame);
    }

    /** Says who this process is; links under an earlier name are closed. */
    void identify(JobFrame.Hello hello) {
        self = hello;
        for (Link link : Map.copyOf(links).values()) {
            link.channel.close();
        }
    }

    void listen(InetSocketAddress address) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        prepare(channel, null);
                    }
                })
                .bind(address)
                .syncUninterruptibly();
    }

    /** Keeps a link to an address open until it is told otherwise. */
    void connect(String address) {
        if (!wishes.containsKey(address)) {
            Wish wish = new Wish(address);
            wishes.put(address, wish);
            open(wish);
        }
    }

    void disconnect(String address) {
        Wish wish = wishes.remove(address);
        if (wish != null && wish.channel != null) {
            wish.channel.close();
        }
    }

    @Override
    public void send(String incarnation, JobFrame frame) {
        Link link = links.get(incarnation);
        if (link != null) {
            link.write(frame);
        }
    }

    private static final class Wish {
        private final String address;
        private Channel channel;

        Wish(String address) {
            this.address = address;
        }
    }

    private void open(Wish wish) {
        if (wishes.get(wish.address) != wish) {
            return;
        }
        int colon = wish.address.lastIndexOf(':');
        InetSocketAddress target = new InetSocketAddress(
                wish.address.substring(0, colon), Integer.parseInt(wish.address.substring(colon + 1)));
        wish.channel = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        prepare(channel, wish);
                    }
                })
                .connect(target)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        time.after(RETRY_MILLISECONDS, () -> open(wish));
                    }
                })
                .channel();
    }

    private void prepare(Channel channel, Wish wish) {
        channel.pipeline()
                .addLast(
                        new ReadTimeoutHandler(SILENCE_MILLISECONDS, TimeUnit.MILLISECONDS),
                        new LengthFieldBasedFrameDecoder(LARGEST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new LengthFieldPrepender(LENGTH_BYTES),
                        new Link(channel, wish));
    }

    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final Channel channel;
        private final Wish wish;
        private JobFrame.Hello peer;
        private boolean flushDue;

        Link(Channel channel, Wish wish) {
            this.channel = channel;
            this.wish = wish;
        }

        void write(JobFrame frame) {
            if (channel.bytesBeforeUnwritable() == 0
                    && channel.unsafe().outboundBuffer() != null
                    && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_WAITING_BYTES) {
                channel.close();
                return;
            }
            channel.write(Unpooled.wrappedBuffer(JobFrameCodec.encode(frame)));
            if (!flushDue) {
                flushDue = true;
                loop.execute(() -> {
                    flushDue = false;
                    channel.flush();
                });
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            write(self);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws IOException {
            JobFrame frame = JobFrameCodec.decode(ByteBufUtil.getBytes(message));
            if (frame instanceof JobFrame.Hello hello && peer == null) {
                peer = hello;
                Link before = links.put(hello.incarnation(), this);
                if (before != null) {
                    before.channel.close();
                    listener.unlinked(before.peer);
                }
                time.log()
                        .event(EventName.LINK, EventKey.NODE, hello.node(), EventKey.INCARNATION, hello.incarnation());
                listener.linked(hello);
            } else if (peer != null && links.get(peer.incarnation()) == this) {
                listener.received(peer, frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (peer != null && links.remove(peer.incarnation(), this)) {
                time.log()
                        .event(
                                EventName.LINK_LOST,
                                EventKey.NODE,
                                peer.node(),
                                EventKey.INCARNATION,
                                peer.incarnation());
                listener.unlinked(peer);
            }
            if (wish != null) {
                time.after(RETRY_MILLISECONDS, () -> open(wish));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            time.log()
                    .event(EventName.LINK_FAULT, EventKey.NODE, peer == null ? "" : peer.node(), EventKey.CAUSE, cause);
            context.close();
        }
    }
}
