import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a loopback address, with JSON bodies; it can be stopped and started again. */
abstract class StandInServer {
    private final InetSocketAddress address;
    private HttpServer server;
    private ExecutorService threads;

    StandInServer(InetSocketAddress address) {
        this.address = address;
    }

    /** Response of a stand-in; a status of 0 closes the connection without a response. */
    record Response(int status, Map<String, Object> body, Map<String, String> headers) {
        Response(int status, Map<String, Object> body) {
            this(status, body, Map.of());
        }
    }

    /** Request to a stand-in. */
    record Request(String method, String path, Map<String, String> query, Map<?, ?> body, String expectedInstance) {}

    abstract Response respond(Request request) throws InterruptedException;

    InetSocketAddress address() {
        return address;
    }

    synchronized void startServer() throws IOException {
        server = HttpServer.create(address, /* backlog= */ 1_024);
        threads = Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action, "stand-in");
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Closes the listening socket and all connections, as the end of the process does. */
    synchronized void stopServer() {
        if (server != null) {
            server.stop(/* delaySeconds= */ 0);
            threads.shutdownNow();
            server = null;
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String queryText = exchange.getRequestURI().getRawQuery();
            if (queryText != null) {
                for (String pair : queryText.split("&")) {
                    int separator = pair.indexOf('=');
                    query.put(
                            pair.substring(0, separator),
                            URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
                }
            }
            Map<?, ?> body = bytes.length == 0 ? Map.of() : (Map<?, ?>) Json.parse(bytes);
            String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
            Response response = respond(new Request(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    query,
                    body,
                    expected == null ? "" : expected));
            if (response.status() == 0) {
                return;
            }
            byte[] text = Json.write(response.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            response.headers().forEach((name, value) -> exchange.getResponseHeaders().set(name, value));
            exchange.sendResponseHeaders(response.status(), text.length);
            exchange.getResponseBody().write(text);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
