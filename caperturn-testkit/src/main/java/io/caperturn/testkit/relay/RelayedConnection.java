package io.caperturn.testkit.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Connection through the relay, made of one channel to the client and one to the target.
 *
 * <p>Used only by the relay's network thread. A muted direction drops bytes and the end of the stream, while the
 * connection to the receiver stays open. Muting is permanent, because TCP never delivers a stream with a gap.
 */
final class RelayedConnection {
    private final Channel client;
    private final Channel target;
    private final LongSupplier delayMilliseconds;
    private boolean mutedToTarget;
    private boolean mutedToClient;

    RelayedConnection(Channel client, Channel target, LongSupplier delayMilliseconds) {
        this.client = client;
        this.target = target;
        this.delayMilliseconds = delayMilliseconds;
        client.pipeline().addLast(new Forwarder(true));
        target.pipeline().addLast(new Forwarder(false));
    }

    void muteToTarget() {
        mutedToTarget = true;
    }

    void muteToClient() {
        mutedToClient = true;
    }

    boolean isMuted() {
        return mutedToTarget || mutedToClient;
    }

    void close() {
        client.close();
        target.close();
    }

    private boolean isMuted(boolean toTarget) {
        return toTarget ? mutedToTarget : mutedToClient;
    }

    /** Forwards bytes from client to target if {@code toTarget}, otherwise from target to client. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final boolean toTarget;
        private long lastDueNanoseconds = System.nanoTime();

        Forwarder(boolean toTarget) {
            this.toTarget = toTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            Channel receiver = toTarget ? target : client;
            ByteBuf bytes = (ByteBuf) message;
            runInOrder(context, () -> {
                if (isMuted(toTarget)) {
                    bytes.release();
                } else {
                    receiver.writeAndFlush(bytes);
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Channel receiver = toTarget ? target : client;
            runInOrder(context, () -> {
                if (!isMuted(toTarget)) {
                    receiver.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** Runs an action after the relay's delay, but never before an earlier action of the same direction. */
        private void runInOrder(ChannelHandlerContext context, Runnable action) {
            long nowNanoseconds = System.nanoTime();
            long dueNanoseconds = nowNanoseconds + TimeUnit.MILLISECONDS.toNanos(delayMilliseconds.getAsLong());
            if (dueNanoseconds <= nowNanoseconds && lastDueNanoseconds <= nowNanoseconds) {
                action.run();
                return;
            }
            lastDueNanoseconds = Math.max(lastDueNanoseconds, dueNanoseconds);
            context.executor().schedule(action, lastDueNanoseconds - nowNanoseconds, TimeUnit.NANOSECONDS);
        }
    }
}
