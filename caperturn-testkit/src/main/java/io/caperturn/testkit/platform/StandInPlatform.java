package io.caperturn.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.HttpExchange;
import io.caperturn.testkit.http.HttpService;
import io.caperturn.testkit.http.Json;
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
 * Stand-in for the platform's table service, in memory, with faults on demand.
 *
 * <p>Speaks the protocol of {@code docs/PROTOCOLS.md}; {@code POST /control} changes its {@link PlatformControl} and
 * {@code GET /control} shows it with the counts so far. The control itself never fails.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final String TABLES_PATH = "/v1/tables/";
    private static final int DEFAULT_LIST_LIMIT = 1_000;

    private final Tables tables = new Tables();
    private final WriteLimit writeLimit = new WriteLimit();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("platform-timer").factory());
    private final LongAdder transactions = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder reads = new LongAdder();
    private final LongAdder conflicts = new LongAdder();
    private final LongAdder refusals = new LongAdder();
    private final HttpService http;
    private volatile PlatformControl control = PlatformControl.DEFAULT;

    /**
     * Starts a platform without rows.
     *
     * @param address where to listen; port 0 for any
     * @throws IOException if the address can't be bound
     */
    public StandInPlatform(Endpoint address) throws IOException {
        http = new HttpService(address, this::handle);
    }

    /**
     * Returns the address bound.
     *
     * @return the address
     */
    public Endpoint address() {
        return http.address();
    }

    /**
     * Changes the behaviour.
     *
     * @param changed the behaviour from now on
     */
    public void control(PlatformControl changed) {
        control = changed;
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
        PlatformControl present = control;
        switch (present.mode()) {
            case DOWN -> refuse(exchange, HttpStatus.SERVICE_UNAVAILABLE_503);
            case DOWN_SILENT -> refusals.increment();
            case SLOW -> later(present.delayMilliseconds(), exchange, () -> serve(exchange, present));
            case NORMAL, REPLY_LOST -> serve(exchange, present);
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("POST")) {
            control = control.with(exchange.body());
        }
        PlatformControl present = control;
        exchange.answer(
                HttpStatus.OK_200,
                Json.object()
                        .put("mode", present.mode().toString())
                        .put("delayMilliseconds", present.delayMilliseconds())
                        .put("writesPerSecond", present.writesPerSecond())
                        .put("syncMilliseconds", present.syncMilliseconds())
                        .put("transactions", transactions.sum())
                        .put("writes", writes.sum())
                        .put("reads", reads.sum())
                        .put("conflicts", conflicts.sum())
                        .put("refusals", refusals.sum()));
    }

    private void serve(HttpExchange exchange, PlatformControl present) {
        if (exchange.method().equals("POST") && exchange.path().equals("/v1/transact")) {
            transact(exchange, present);
        } else if (exchange.method().equals("GET") && exchange.path().startsWith(TABLES_PATH)) {
            list(exchange);
        } else {
            exchange.answer(HttpStatus.NOT_FOUND_404);
        }
    }

    private void list(HttpExchange exchange) {
        reads.increment();
        int limit = Integer.parseInt(exchange.query("limit", String.valueOf(DEFAULT_LIST_LIMIT)));
        String table = exchange.path().substring(TABLES_PATH.length());
        answer(exchange, HttpStatus.OK_200, tables.list(table, exchange.query("after", ""), limit));
    }

    private void transact(HttpExchange exchange, PlatformControl present) {
        List<Tables.Read> wantedReads = readsOf(exchange.body());
        List<Tables.Write> wantedWrites = writesOf(exchange.body());
        if (!wantedWrites.isEmpty() && !writeLimit.take(present.writesPerSecond(), System.nanoTime())) {
            refuse(exchange, HttpStatus.TOO_MANY_REQUESTS_429);
            return;
        }
        Tables.Outcome outcome = tables.transact(wantedReads, wantedWrites);
        transactions.increment();
        reads.add(wantedReads.size());
        if (!outcome.committed()) {
            conflicts.increment();
            answer(exchange, HttpStatus.CONFLICT_409, outcome.rows());
            return;
        }
        if (wantedWrites.isEmpty()) {
            answer(exchange, HttpStatus.OK_200, outcome.rows());
            return;
        }
        writes.add(wantedWrites.size());
        later(present.syncMilliseconds(), exchange, () -> {
            if (present.mode() == PlatformMode.REPLY_LOST) {
                exchange.abort();
            } else {
                answer(exchange, HttpStatus.OK_200, outcome.rows());
            }
        });
    }

    private void refuse(HttpExchange exchange, int status) {
        refusals.increment();
        exchange.answer(status);
    }

    private void later(long delayMilliseconds, HttpExchange exchange, Runnable action) {
        Runnable guarded = () -> {
            try {
                action.run();
            } catch (IllegalArgumentException e) {
                exchange.answer(HttpStatus.BAD_REQUEST_400);
            }
        };
        timer.schedule(guarded, delayMilliseconds, TimeUnit.MILLISECONDS);
    }

    private static void answer(HttpExchange exchange, int status, List<Row> rows) {
        exchange.answer(status, Json.of(Map.of("rows", rows)));
    }

    private static List<Tables.Read> readsOf(JsonNode body) {
        List<Tables.Read> wanted = new ArrayList<>();
        body.path("reads").forEach(read -> wanted.add(new Tables.Read(text(read, "table"), text(read, "key"))));
        return wanted;
    }

    private static List<Tables.Write> writesOf(JsonNode body) {
        List<Tables.Write> wanted = new ArrayList<>();
        body.path("writes")
                .forEach(write -> wanted.add(new Tables.Write(
                        text(write, "table"),
                        text(write, "key"),
                        write.path("expectedVersion").asLong(),
                        write.path("value").isTextual() ? write.get("value").asText() : null)));
        return wanted;
    }

    private static String text(JsonNode node, String member) {
        if (!node.path(member).isTextual()) {
            throw new IllegalArgumentException("missing " + member);
        }
        return node.get(member).asText();
    }
}
