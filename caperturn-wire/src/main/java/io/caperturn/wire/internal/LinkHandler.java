package io.caperturn.wire.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.caperturn.kernel.EventLine;
import io.caperturn.wire.Link;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.Peer;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Heartbeat;
import io.caperturn.wire.message.Hello;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * One link: greets, decodes frames, sends heartbeats when idle and closes when the peer is silent.
 *
 * <p>Everything but {@link #send} and {@link #close} runs on the network thread.
 */
public final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> implements Link {
    private static final System.Logger LOGGER = System.getLogger(LinkHandler.class.getName());
    private static final int PROTOCOL_VERSION = 1;

    private final LinkPipeline pipeline;
    private final boolean accepting;
    private volatile Channel channel;
    private volatile Peer peer;
    private volatile String closeReason;
    private boolean ended;

    LinkHandler(LinkPipeline pipeline, boolean accepting) {
        this.pipeline = pipeline;
        this.accepting = accepting;
    }

    /**
     * Counts the open links of an endpoint.
     *
     * @param pipeline the endpoint's pipeline
     * @return the number of links whose peer has said who it is
     */
    public static int countOpen(LinkPipeline pipeline) {
        return pipeline.open().get();
    }

    @Override
    public Peer peer() {
        return peer;
    }

    @Override
    public boolean send(Frame.Builder frame) {
        Channel current = channel;
        if (current == null || !current.isActive()) {
            return false;
        }
        if (!current.isWritable()) {
            closeBecause("send buffer full");
            return false;
        }
        current.writeAndFlush(encode(frame), current.voidPromise());
        return true;
    }

    /** Sends a last heartbeat behind all that is queued, and ends the output once it is written. */
    void finish() {
        Channel current = channel;
        if (current instanceof DuplexChannel duplex && current.isActive()) {
            current.writeAndFlush(encode(Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance())))
                    .addListener(ignored -> duplex.shutdownOutput());
        }
    }

    private ByteBuf encode(Frame.Builder frame) {
        long age = pipeline.stamp().confirmationAgeMilliseconds();
        return Unpooled.wrappedBuffer(frame.setProtocolVersion(PROTOCOL_VERSION)
                .setTableVersion(pipeline.stamp().tableVersion())
                .setConfirmationAgeMillisecondsPlusOne(age + 1)
                .build()
                .toByteArray());
    }

    @Override
    public void close() {
        closeBecause("closed here");
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        Peer self = pipeline.settings().self();
        send(Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProcess(MessageCodec.toMessage(self.process()))
                        .setRole(self.role())
                        .setAvailabilityZone(self.availabilityZone())
                        .setLinkAddress(pipeline.linkAddress())));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws InvalidProtocolBufferException {
        if (closeReason != null) {
            return;
        }
        Frame frame = Frame.parseFrom(bytes.nioBuffer());
        if (frame.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new CorruptedFrameException("protocol version " + frame.getProtocolVersion());
        }
        if (peer == null) {
            greet(frame);
        }
        pipeline.stamp().observe(this, frame.getTableVersion(), frame.getConfirmationAgeMillisecondsPlusOne() - 1);
        switch (frame.getBodyCase()) {
            case HELLO, HEARTBEAT, BODY_NOT_SET -> {}
            default -> pipeline.listener().onFrame(this, frame);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                closeBecause("silent");
            } else {
                send(Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end();
    }

    /** Tells the listener once that the link is over, which may be before the network says so. */
    private void end() {
        if (peer == null || ended) {
            return;
        }
        ended = true;
        pipeline.open().decrementAndGet();
        if (accepting) {
            pipeline.accepted().remove(peer.process().name(), this);
        }
        pipeline.listener().onClosed(this, closeReason == null ? "closed by peer" : closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (closeReason != null) {
            return;
        }
        boolean garbage = cause instanceof CorruptedFrameException
                || cause instanceof TooLongFrameException
                || cause instanceof InvalidProtocolBufferException
                || cause instanceof IllegalArgumentException;
        LOGGER.log(
                System.Logger.Level.WARNING,
                EventLine.of(garbage ? "link-garbage" : "link-broken")
                        .with("remote", context.channel().remoteAddress())
                        .with("peer", peer == null ? "unknown" : peer.process())
                        .with("reason", cause)
                        .toString());
        closeBecause(garbage ? "garbage" : "broken");
    }

    private void greet(Frame frame) {
        if (!frame.hasHello()) {
            throw new CorruptedFrameException("first frame is not a hello");
        }
        Hello hello = frame.getHello();
        peer = new Peer(
                MessageCodec.fromMessage(hello.getProcess()),
                hello.getRole(),
                hello.getAvailabilityZone(),
                hello.getLinkAddress());
        if (accepting) {
            replaceEarlierLink();
        }
        pipeline.open().incrementAndGet();
        pipeline.listener().onOpened(this);
    }

    private void replaceEarlierLink() {
        LinkHandler earlier = pipeline.accepted().put(peer.process().name(), this);
        if (earlier != null) {
            earlier.closeBecause("replaced");
            earlier.end();
        }
    }

    private void closeBecause(String reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }
}
