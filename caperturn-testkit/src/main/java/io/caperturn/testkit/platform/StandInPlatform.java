package io.caperturn.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.HttpExchange;
import io.caperturn.testkit.http.StandInHttpServer;
import io.caperturn.testkit.http.TestkitJson;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.http.HttpStatus;

/**
 * In-memory stand-in for the platform's table service, with faults that tests switch on and off.
 *
 * <p>Implements the protocol of {@code docs/PROTOCOLS.md}. {@code POST /control} changes its {@link PlatformBehaviour}
 * and {@code GET /control} returns it with request counts; both work in every mode.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final String TABLES_PATH = "/v1/tables/";
    private static final int DEFAULT_LIST_LIMIT = 1_000;

    private final Tables tables = new Tables();
    private final WriteRateLimiter writeRateLimiter = new WriteRateLimiter();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("platform-timer").factory());
    private final LongAdder transactionCount = new LongAdder();
    private final LongAdder writeCount = new LongAdder();
    private final LongAdder readCount = new LongAdder();
    private final LongAdder conflictCount = new LongAdder();
    private final LongAdder refusalCount = new LongAdder();
    private final StandInHttpServer http;
    private volatile PlatformBehaviour behaviour = PlatformBehaviour.DEFAULT;

    /**
     * Starts a platform with empty tables.
     *
     * @param address the address to listen on; port 0 binds any free port
     * @throws IOException if the address can't be bound
     */
    public StandInPlatform(HostAndPort address) throws IOException {
        http = new StandInHttpServer(address, this::handle);
    }

    /**
     * Returns the address that the platform listens on.
     *
     * @return the address
     */
    public HostAndPort address() {
        return http.address();
    }

    /**
     * Sets the behaviour for all further requests.
     *
     * @param newBehaviour the new behaviour
     */
    public void setBehaviour(PlatformBehaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        http.close();
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/control")) {
            handleControl(exchange);
            return;
        }
        PlatformBehaviour current = behaviour;
        switch (current.mode()) {
            case DOWN -> refuse(exchange, HttpStatus.SERVICE_UNAVAILABLE_503);
            case DOWN_SILENT -> refusalCount.increment();
            case SLOW -> schedule(current.delayMilliseconds(), exchange, () -> serveTables(exchange, current));
            case NORMAL, REPLY_LOST -> serveTables(exchange, current);
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("POST")) {
            behaviour = behaviour.withChanges(exchange.body());
        }
        PlatformBehaviour current = behaviour;
        exchange.respond(
                HttpStatus.OK_200,
                TestkitJson.object()
                        .put("mode", current.mode().toString())
                        .put("delayMilliseconds", current.delayMilliseconds())
                        .put("writesPerSecond", current.writesPerSecond())
                        .put("syncMilliseconds", current.syncMilliseconds())
                        .put("transactions", transactionCount.sum())
                        .put("writes", writeCount.sum())
                        .put("reads", readCount.sum())
                        .put("conflicts", conflictCount.sum())
                        .put("refusals", refusalCount.sum()));
    }

    private void serveTables(HttpExchange exchange, PlatformBehaviour current) {
        if (exchange.method().equals("POST") && exchange.path().equals("/v1/transact")) {
            transact(exchange, current);
        } else if (exchange.method().equals("GET") && exchange.path().startsWith(TABLES_PATH)) {
            listRows(exchange);
        } else {
            exchange.respond(HttpStatus.NOT_FOUND_404);
        }
    }

    private void listRows(HttpExchange exchange) {
        readCount.increment();
        int limit = Integer.parseInt(exchange.queryParameter("limit", String.valueOf(DEFAULT_LIST_LIMIT)));
        String table = exchange.path().substring(TABLES_PATH.length());
        respondWithRows(
                exchange, HttpStatus.OK_200, tables.listRows(table, exchange.queryParameter("after", ""), limit));
    }

    private void transact(HttpExchange exchange, PlatformBehaviour current) {
        List<Tables.Read> requestedReads = parseReads(exchange.body());
        List<Tables.Write> requestedWrites = parseWrites(exchange.body());
        if (!requestedWrites.isEmpty() && !writeRateLimiter.tryAcquire(current.writesPerSecond(), System.nanoTime())) {
            refuse(exchange, HttpStatus.TOO_MANY_REQUESTS_429);
            return;
        }
        Tables.TransactionResult result = tables.transact(requestedReads, requestedWrites);
        transactionCount.increment();
        readCount.add(requestedReads.size());
        if (!result.committed()) {
            conflictCount.increment();
            respondWithRows(exchange, HttpStatus.CONFLICT_409, result.rows());
            return;
        }
        if (requestedWrites.isEmpty()) {
            respondWithRows(exchange, HttpStatus.OK_200, result.rows());
            return;
        }
        writeCount.add(requestedWrites.size());
        schedule(current.syncMilliseconds(), exchange, () -> {
            if (current.mode() == PlatformMode.REPLY_LOST) {
                exchange.abort();
            } else {
                respondWithRows(exchange, HttpStatus.OK_200, result.rows());
            }
        });
    }

    private void refuse(HttpExchange exchange, int status) {
        refusalCount.increment();
        exchange.respond(status);
    }

    private void schedule(long delayMilliseconds, HttpExchange exchange, Runnable action) {
        Runnable actionOrBadRequest = () -> {
            try {
                action.run();
            } catch (IllegalArgumentException e) {
                exchange.respond(HttpStatus.BAD_REQUEST_400);
            }
        };
        timer.schedule(actionOrBadRequest, delayMilliseconds, TimeUnit.MILLISECONDS);
    }

    private static void respondWithRows(HttpExchange exchange, int status, List<StoredRow> rows) {
        exchange.respond(status, TestkitJson.of(Map.of("rows", rows)));
    }

    private static List<Tables.Read> parseReads(JsonNode body) {
        List<Tables.Read> requested = new ArrayList<>();
        body.path("reads")
                .forEach(read -> requested.add(new Tables.Read(requireText(read, "table"), requireText(read, "key"))));
        return requested;
    }

    private static List<Tables.Write> parseWrites(JsonNode body) {
        List<Tables.Write> requested = new ArrayList<>();
        body.path("writes")
                .forEach(write -> requested.add(new Tables.Write(
                        requireText(write, "table"),
                        requireText(write, "key"),
                        write.path("expectedVersion").asLong(),
                        write.path("value").isTextual() ? write.get("value").asText() : null)));
        return requested;
    }

    private static String requireText(JsonNode node, String member) {
        if (!node.path(member).isTextual()) {
            throw new IllegalArgumentException("missing or not a string: " + member);
        }
        return node.get(member).asText();
    }
}
