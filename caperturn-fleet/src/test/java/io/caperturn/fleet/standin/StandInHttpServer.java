package io.caperturn.fleet.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Base class of stand-ins: an HTTP server on the loopback interface with JSON bodies. */
abstract class StandInHttpServer implements AutoCloseable {
    private static final JsonFactory JSON = new JsonFactory();

    private final HttpServer server;

    StandInHttpServer() throws IOException {
        server = HttpServer.create(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), /* port= */ 0), /* backlog= */ 0);
        server.setExecutor(Executors.newCachedThreadPool(action -> {
            Thread thread = new Thread(action, "stand-in");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Response of a stand-in; a status of 0 closes the connection without a response. */
    record Response(int status, Map<String, Object> body) {}

    /** Returns the response to one request. */
    abstract Response respond(
            String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException;

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
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
        Map<?, ?> body = bytes.length == 0 ? Map.of() : (Map<?, ?>) parse(bytes);
        Response response;
        try {
            response = respond(
                    exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body, exchange);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            response = new Response(0, Map.of());
        }
        if (response.status() != 0) {
            byte[] bodyBytes = write(response.body());
            exchange.sendResponseHeaders(response.status(), bodyBytes.length);
            exchange.getResponseBody().write(bodyBytes);
        }
        exchange.close();
    }

    /** Returns the value of a JSON text, as a map, list, string, number, boolean or null. */
    static Object parse(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            parser.nextToken();
            return parseValue(parser);
        }
    }

    private static Object parseValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, parseValue(parser));
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(parseValue(parser));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    /** Returns the JSON text of a value of the types that {@link #parse} returns. */
    static byte[] write(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON.createGenerator(bytes)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        switch (value) {
            case null -> generator.writeNull();
            case String text -> generator.writeString(text);
            case Integer number -> generator.writeNumber(number);
            case Long number -> generator.writeNumber(number);
            case Double number -> generator.writeNumber(number);
            case Boolean flag -> generator.writeBoolean(flag);
            case Map<?, ?> map -> {
                generator.writeStartObject();
                for (Map.Entry<?, ?> field : map.entrySet()) {
                    generator.writeFieldName(String.valueOf(field.getKey()));
                    write(generator, field.getValue());
                }
                generator.writeEndObject();
            }
            case List<?> list -> {
                generator.writeStartArray();
                for (Object element : list) {
                    write(generator, element);
                }
                generator.writeEndArray();
            }
            default -> throw new IllegalArgumentException("no JSON form for " + value.getClass());
        }
    }

    @Override
    public void close() {
        server.stop(/* delaySeconds= */ 0);
    }
}
