package io.caperturn.testkit.http;

import io.caperturn.testkit.Endpoint;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server of a stand-in: hands each request with its body to one function. */
public final class HttpService implements AutoCloseable {
    private static final int MAXIMUM_THREADS = 32;
    private static final int MINIMUM_THREADS = 4;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 600_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Binds an address and serves from then on.
     *
     * @param address where to listen; port 0 for any
     * @param handler what answers a request; an {@link IllegalArgumentException} out of it is answered with 400
     * @throws IOException if the address can't be bound
     */
    public HttpService(Endpoint address, Consumer<HttpExchange> handler) throws IOException {
        this(address, handler, ignored -> {});
    }

    /**
     * Binds an address and serves from then on.
     *
     * @param address where to listen; port 0 for any
     * @param handler what answers a request; an {@link IllegalArgumentException} out of it is answered with 400
     * @param closed what hears of connections that have closed
     * @throws IOException if the address can't be bound
     */
    public HttpService(Endpoint address, Consumer<HttpExchange> handler, Consumer<Connection> closed)
            throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setDaemon(true);
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 1);
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
        connector.addBean(new ClosedConnections(closed));
        server.addConnector(connector);
        server.setHandler(new Dispatcher(handler));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("can't serve at " + address, e);
        }
    }

    /**
     * Returns the address bound.
     *
     * @return the address with its port
     */
    public Endpoint address() {
        return new Endpoint(connector.getHost(), connector.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("can't stop serving", e);
        }
    }

    private record ClosedConnections(Consumer<Connection> closed) implements Connection.Listener {
        @Override
        public void onClosed(Connection connection) {
            closed.accept(connection);
        }
    }

    private static final class Dispatcher extends Handler.Abstract {
        private final Consumer<HttpExchange> handler;

        Dispatcher(Consumer<HttpExchange> handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            String body = Content.Source.asString(request, StandardCharsets.UTF_8);
            HttpExchange exchange = new HttpExchange(request, response, callback, body);
            try {
                handler.accept(exchange);
            } catch (IllegalArgumentException e) {
                exchange.answer(HttpStatus.BAD_REQUEST_400, Json.object().put("error", String.valueOf(e.getMessage())));
            }
            return true;
        }
    }
}
