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
import java.io.IOException;

/**
 * Netty handler of one link: exchanges hello frames (identities), decodes frames, sends heartbeats when idle and closes
 * the link when the peer is silent.
 *
 * <p>{@link #send}, {@link #shutDownOutput} and {@link #close} may be called from any thread; all else runs on the
 * network thread.
 */
public final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> implements Link {
    private static final System.Logger LOGGER = System.getLogger(LinkHandler.class.getName());
    private static final int PROTOCOL_VERSION = 1;

    private final LinkChannels linkChannels;
    /** Whether the peer opened the link. */
    private final boolean accepted;

    private volatile Channel channel;
    /** Null until the peer's hello frame has arrived. */
    private volatile Peer peer;
    /** Null unless this process has closed the link. */
    private volatile String closeReason;

    /** Whether this process sends nothing more, and waits for its peer to close the link. */
    private volatile boolean outputShutDown;

    private boolean closeNotified;

    LinkHandler(LinkChannels linkChannels, boolean accepted) {
        this.linkChannels = linkChannels;
        this.accepted = accepted;
    }

    /**
     * Returns the number of open links of an endpoint.
     *
     * @param linkChannels the shared state of the endpoint's links
     * @return the number of links whose peer has identified itself
     */
    public static int countOpenLinks(LinkChannels linkChannels) {
        return linkChannels.openLinkCount().get();
    }

    @Override
    public Peer peer() {
        return peer;
    }

    @Override
    public boolean send(Frame.Builder frame) {
        Channel current = channel;
        if (current == null || !current.isActive() || outputShutDown) {
            return false;
        }
        if (!current.isWritable()) {
            closeWithReason("send buffer full");
            return false;
        }
        current.writeAndFlush(encode(frame), current.voidPromise());
        return true;
    }

    /** Sends a final heartbeat after all queued frames, and shuts the output down once it is written. */
    void shutDownOutput() {
        Channel current = channel;
        if (current instanceof DuplexChannel duplex && current.isActive()) {
            outputShutDown = true;
            current.writeAndFlush(encode(Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance())))
                    .addListener(ignored -> duplex.shutdownOutput());
        }
    }

    private ByteBuf encode(Frame.Builder frame) {
        // The age is -1 if no confirmation is known; it is sent as 0, which is also the value of an absent field.
        long age = linkChannels.tableVersionExchange().confirmationAgeMilliseconds();
        return Unpooled.wrappedBuffer(frame.setProtocolVersion(PROTOCOL_VERSION)
                .setTableVersion(linkChannels.tableVersionExchange().tableVersion())
                .setConfirmationAgeMillisecondsPlusOne(age + 1)
                .build()
                .toByteArray());
    }

    @Override
    public void close() {
        closeWithReason("closed locally");
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        Peer self = linkChannels.settings().self();
        send(Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProcess(MessageCodec.toMessage(self.process()))
                        .setRole(self.role())
                        .setAvailabilityZone(self.availabilityZone())
                        .setLinkAddress(linkChannels.linkAddress())));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws InvalidProtocolBufferException {
        if (closeReason != null) {
            return;
        }
        Frame frame = Frame.parseFrom(bytes.nioBuffer());
        if (frame.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new CorruptedFrameException("unsupported protocol version " + frame.getProtocolVersion());
        }
        if (peer == null) {
            onHello(frame);
        }
        linkChannels
                .tableVersionExchange()
                .onTableVersion(this, frame.getTableVersion(), frame.getConfirmationAgeMillisecondsPlusOne() - 1);
        switch (frame.getBodyCase()) {
            case HELLO, HEARTBEAT, BODY_NOT_SET -> {}
            default -> linkChannels.listener().onFrame(this, frame);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                closeWithReason("silent");
            } else {
                send(Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        notifyClosed();
    }

    /** Notifies the listener once that the link is closed, possibly before Netty reports the channel inactive. */
    private void notifyClosed() {
        if (peer == null || closeNotified) {
            return;
        }
        closeNotified = true;
        linkChannels.openLinkCount().decrementAndGet();
        if (accepted) {
            linkChannels.acceptedLinks().remove(peer.process().name(), this);
        }
        linkChannels.listener().onClosed(this, closeReason == null ? "closed by peer" : closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A frame that another thread sent while the output was shut down fails; what the peer still sends is read on.
        if (closeReason != null || outputShutDown && cause instanceof IOException) {
            return;
        }
        boolean malformed = cause instanceof CorruptedFrameException
                || cause instanceof TooLongFrameException
                || cause instanceof InvalidProtocolBufferException
                || cause instanceof IllegalArgumentException;
        LOGGER.log(
                System.Logger.Level.WARNING,
                EventLine.of(malformed ? "link-garbage" : "link-broken")
                        .with("remote", context.channel().remoteAddress())
                        .with("peer", peer == null ? "unknown" : peer.process())
                        .with("reason", cause)
                        .toString());
        closeWithReason(malformed ? "garbage" : "broken");
    }

    private void onHello(Frame frame) {
        if (!frame.hasHello()) {
            throw new CorruptedFrameException("first frame is not a hello");
        }
        Hello hello = frame.getHello();
        peer = new Peer(
                MessageCodec.fromMessage(hello.getProcess()),
                hello.getRole(),
                hello.getAvailabilityZone(),
                hello.getLinkAddress());
        if (accepted) {
            replaceEarlierLink();
        }
        linkChannels.openLinkCount().incrementAndGet();
        linkChannels.listener().onOpened(this);
    }

    private void replaceEarlierLink() {
        LinkHandler earlier = linkChannels.acceptedLinks().put(peer.process().name(), this);
        if (earlier != null) {
            earlier.closeWithReason("replaced");
            earlier.notifyClosed();
        }
    }

    private void closeWithReason(String reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }
}
