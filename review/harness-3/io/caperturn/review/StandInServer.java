package io.caperturn.review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in. */
abstract class StandInServer {
    static {
        // Without it the server holds answers back until the peer acknowledges their headers.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private HttpServer server;

    /** Answer to a request; a status of 0 closes the connection without an answer. */
    record Answer(int status, Map<String, Object> body) {}

    abstract Answer answer(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException;

    final void listen(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, /* backlog= */ 200);
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action, "stand-in");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Closes the port and all connections. */
    final void stopListening() {
        if (server != null) {
            server.stop(/* delaySeconds= */ 0);
            server = null;
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String pair : text.split("&")) {
                int separator = pair.indexOf('=');
                query.put(
                        pair.substring(0, separator),
                        URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        Answer answer;
        try {
            answer = answer(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    query,
                    Json.parseObject(bytes),
                    exchange);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            answer = new Answer(0, Map.of());
        }
        if (answer.status() != 0) {
            byte[] body = Json.write(answer.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }
}
