package io.caperturn.testkit.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Both ends of one connection through the relay; used by the relay's network thread only.
 *
 * <p>A muted direction loses its bytes and also its end, so the receiver never learns of either. It stays muted for
 * good, as a stream with a gap would be no failure that TCP allows.
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
            inOrder(context, () -> {
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
            inOrder(context, () -> {
                if (!isMuted(toTarget)) {
                    receiver.close();
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void inOrder(ChannelHandlerContext context, Runnable action) {
            long now = System.nanoTime();
            long due = now + TimeUnit.MILLISECONDS.toNanos(delayMilliseconds.getAsLong());
            if (due <= now && lastDueNanoseconds <= now) {
                action.run();
                return;
            }
            lastDueNanoseconds = Math.max(lastDueNanoseconds, due);
            context.executor().schedule(action, lastDueNanoseconds - now, TimeUnit.NANOSECONDS);
        }
    }
}
