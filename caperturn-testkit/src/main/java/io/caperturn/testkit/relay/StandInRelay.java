package io.caperturn.testkit.relay;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.HttpExchange;
import io.caperturn.testkit.http.StandInHttpServer;
import io.caperturn.testkit.http.TestkitJson;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpStatus;

/**
 * TCP relay that can cut, mute (silently drop bytes of), refuse or delay connections.
 *
 * <p>{@code POST /control} on the control address changes its {@code mode}, {@code target} or {@code delayMilliseconds}
 * (of each direction) and is answered after the change has taken effect.
 */
public final class StandInRelay implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 500;

    private final EventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final HostAndPort address;
    private final StandInHttpServer controlServer;
    private volatile HostAndPort target;
    private volatile RelayMode mode = RelayMode.PASS;
    private volatile long delayMilliseconds;

    /**
     * Starts a relay.
     *
     * @param listen the address that accepts connections; port 0 binds any free port
     * @param target the address that connections are forwarded to
     * @param controlAddress the address of the HTTP control; port 0 binds any free port
     * @throws IOException if an address can't be bound
     */
    public StandInRelay(HostAndPort listen, HostAndPort target, HostAndPort controlAddress) throws IOException {
        this.target = target;
        this.address = bind(listen);
        this.controlServer = new StandInHttpServer(controlAddress, this::handleControl);
    }

    /**
     * Returns the address that accepts connections.
     *
     * @return the address
     */
    public HostAndPort address() {
        return address;
    }

    /**
     * Returns the address of the HTTP control.
     *
     * @return the address
     */
    public HostAndPort controlAddress() {
        return controlServer.address();
    }

    /**
     * Sets the target of new connections.
     *
     * @param newTarget the address that new connections are forwarded to
     */
    public void setTarget(HostAndPort newTarget) {
        target = newTarget;
    }

    /**
     * Sets the mode and waits until it has taken effect.
     *
     * @param newMode the treatment of connections
     */
    public void setMode(RelayMode newMode) {
        eventLoop.submit(() -> applyMode(newMode)).awaitUninterruptibly();
    }

    @Override
    public void close() throws IOException {
        eventLoop
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2L * SHUTDOWN_TIMEOUT_MILLISECONDS);
        controlServer.close();
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("POST")) {
            JsonNode changes = exchange.body();
            delayMilliseconds = changes.path("delayMilliseconds").asLong(delayMilliseconds);
            if (changes.has("target")) {
                setTarget(HostAndPort.parse(changes.get("target").asText()));
            }
            if (changes.has("mode")) {
                setMode(RelayMode.parse(changes.get("mode").asText()));
            }
        }
        exchange.respond(
                HttpStatus.OK_200,
                TestkitJson.object()
                        .put("mode", mode.toString())
                        .put("target", target.toString())
                        .put("delayMilliseconds", delayMilliseconds)
                        .put("connections", connections.size())
                        .put(
                                "muted",
                                connections.stream()
                                        .filter(RelayedConnection::isMuted)
                                        .count()));
    }

    private void applyMode(RelayMode newMode) {
        mode = newMode;
        switch (newMode) {
            case PASS, REFUSE -> {
                // Existing connections stay as they are.
            }
            case CUT -> connections.forEach(RelayedConnection::close);
            case SILENT ->
                connections.forEach(connection -> {
                    connection.muteToTarget();
                    connection.muteToClient();
                });
            case TO_TARGET_ONLY -> connections.forEach(RelayedConnection::muteToClient);
            case TO_CLIENT_ONLY -> connections.forEach(RelayedConnection::muteToTarget);
        }
    }

    private HostAndPort bind(HostAndPort listen) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel client) {
                        accept(client);
                    }
                });
        ChannelFuture bound = bootstrap.bind(listen.socketAddress()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot bind " + listen, bound.cause());
        }
        return new HostAndPort(
                listen.host(), ((InetSocketAddress) bound.channel().localAddress()).getPort());
    }

    private void accept(Channel client) {
        if (mode == RelayMode.REFUSE) {
            client.close();
            return;
        }
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(target.socketAddress())
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        startForwarding(client, connected.channel());
                    } else {
                        client.close();
                    }
                });
    }

    private void startForwarding(Channel client, Channel targetChannel) {
        RelayedConnection connection = new RelayedConnection(client, targetChannel, () -> delayMilliseconds);
        connections.add(connection);
        client.closeFuture().addListener(ignored -> {
            if (!targetChannel.isOpen()) {
                connections.remove(connection);
            }
        });
        targetChannel.closeFuture().addListener(ignored -> {
            if (!client.isOpen()) {
                connections.remove(connection);
            }
        });
        if (mode == RelayMode.TO_TARGET_ONLY) {
            connection.muteToClient();
        } else if (mode == RelayMode.TO_CLIENT_ONLY) {
            connection.muteToTarget();
        }
        // Neither channel is read before both are connected, so that no byte is lost.
        client.config().setAutoRead(true);
        targetChannel.config().setAutoRead(true);
    }
}
