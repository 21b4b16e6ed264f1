package io.caperturn.testkit.http;

import io.caperturn.testkit.HostAndPort;
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

/** HTTP server of a stand-in. Passes each request with its body to one handler. */
public final class StandInHttpServer implements AutoCloseable {
    private static final int MAXIMUM_THREADS = 32;
    private static final int MINIMUM_THREADS = 4;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 600_000;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 binds any free port
     * @param handler responds to requests; an {@link IllegalArgumentException} from it is answered with status 400
     * @throws IOException if the address can't be bound
     */
    public StandInHttpServer(HostAndPort address, Consumer<HttpExchange> handler) throws IOException {
        this(address, handler, ignored -> {});
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 binds any free port
     * @param handler responds to requests; an {@link IllegalArgumentException} from it is answered with status 400
     * @param closeListener called with each connection that has closed
     * @throws IOException if the address can't be bound
     */
    public StandInHttpServer(HostAndPort address, Consumer<HttpExchange> handler, Consumer<Connection> closeListener)
            throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setDaemon(true);
        server = new Server(threads);
        // One acceptor thread and one selector thread.
        connector = new ServerConnector(server, 1, 1);
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLISECONDS);
        connector.addBean(new CloseListener(closeListener));
        server.addConnector(connector);
        server.setHandler(new RequestHandler(handler));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("cannot start the HTTP server at " + address, e);
        }
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the port bound
     */
    public HostAndPort address() {
        return new HostAndPort(connector.getHost(), connector.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException("cannot stop the HTTP server", e);
        }
    }

    private record CloseListener(Consumer<Connection> closeAction) implements Connection.Listener {
        @Override
        public void onClosed(Connection connection) {
            closeAction.accept(connection);
        }
    }

    private static final class RequestHandler extends Handler.Abstract {
        private final Consumer<HttpExchange> exchangeHandler;

        RequestHandler(Consumer<HttpExchange> exchangeHandler) {
            this.exchangeHandler = exchangeHandler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            String body = Content.Source.asString(request, StandardCharsets.UTF_8);
            HttpExchange exchange = new HttpExchange(request, response, callback, body);
            try {
                exchangeHandler.accept(exchange);
            } catch (IllegalArgumentException e) {
                exchange.respond(
                        HttpStatus.BAD_REQUEST_400, TestkitJson.object().put("error", String.valueOf(e.getMessage())));
            }
            return true;
        }
    }
}
