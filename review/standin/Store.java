import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;

/**
 * Stand-in of the platform's metadata store. Each machine reaches it at an address of its own, so that a fault can be
 * confined to some machines.
 */
final class Store {
    private static final int TRANSACTION_MILLISECONDS = 3;

    /** What becomes of a call of a machine. */
    enum Fate {
        /** It is answered. */
        NORMAL,
        /** It is neither performed nor answered. */
        SILENT,
        /** It is not answered, and performed some seconds later if its condition still holds. */
        LATE,
        /** It is performed, and not answered. */
        ANSWER_LOST
    }

    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, Long> toldAt = new ConcurrentHashMap<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;
    /** Decides the fate of a call, by the node and the request. */
    volatile BiFunction<String, HttpServer.Request, Fate> fates = (node, request) -> Fate.NORMAL;

    volatile long lateMilliseconds = 5_000;

    String listen(String node, String host, int port) throws IOException {
        HttpServer server = new HttpServer(host, port, request -> handle(node, request));
        servers.add(server);
        return server.address();
    }

    private HttpServer.Response handle(String node, HttpServer.Request request) throws InterruptedException {
        Fate fate = fates.apply(node, request);
        switch (fate) {
            case SILENT -> {
                return new HttpServer.Response(-1, "");
            }
            case LATE -> {
                if (request.method().equals("POST")) {
                    long delay = lateMilliseconds;
                    Thread.ofVirtual().start(() -> {
                        try {
                            Thread.sleep(delay);
                        } catch (InterruptedException e) {
                            return;
                        }
                        HttpServer.Response response = respond(request);
                        Transcript.event("the store performs a write of " + node + " late: " + response.status());
                    });
                }
                return new HttpServer.Response(-1, "");
            }
            case ANSWER_LOST -> {
                respond(request);
                return new HttpServer.Response(-1, "");
            }
            default -> {}
        }
        Thread.sleep(TRANSACTION_MILLISECONDS);
        HttpServer.Response response = respond(request);
        if (request.path().equals("/rows-feed") && !response.body().contains("\"rows\":[]")) {
            toldAt.put(node, Transcript.now());
        }
        return response;
    }

    /** Returns when a machine that follows a table was last told of a change, in milliseconds; 0 if it never was. */
    long toldAt(String node) {
        return toldAt.getOrDefault(node, 0L);
    }

    private HttpServer.Response respond(HttpServer.Request request) {
        return switch (request.path()) {
            case "/rows-tx" -> transact((Map<?, ?>) Json.parse(request.body()));
            case "/rows-get" -> read(request.query());
            case "/rows-feed" -> feed(request.query());
            default -> new HttpServer.Response(404, "{}");
        };
    }

    private static String key(Object table, Object part, Object key) {
        return table + "\n" + part + "\n" + key;
    }

    private static String key(Map<?, ?> row) {
        return key(row.get("table"), row.get("part"), row.get("key"));
    }

    private synchronized HttpServer.Response transact(Map<?, ?> body) {
        List<Object> current = new ArrayList<>();
        boolean met = true;
        for (Object element : (List<?>) body.get("precondition")) {
            Map<?, ?> condition = (Map<?, ?>) element;
            Map<String, Object> stored = rows.get(key(condition));
            if (stored != null) {
                current.add(stored);
            }
            met &= (stored == null ? (Long) 0L : stored.get("schemaVersion")).equals(condition.get("schemaVersion"));
        }
        if (!met) {
            return answer(412, current);
        }
        version++;
        for (Object element : (List<?>) body.get("put")) {
            Map<?, ?> row = (Map<?, ?>) element;
            put((String) row.get("table"), (String) row.get("part"), (String) row.get("key"), (String) row.get("value"));
        }
        for (Object element : (List<?>) body.get("remove")) {
            Map<?, ?> row = (Map<?, ?>) element;
            rows.remove(key(row));
            Map<String, Object> removal = row(row.get("table"), row.get("part"), row.get("key"));
            removal.put("removed", true);
            history.add(removal);
        }
        notifyAll();
        return answer(200, List.of());
    }

    private Map<String, Object> row(Object table, Object part, Object key) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("schemaVersion", version);
        return row;
    }

    private void put(String table, String part, String key, String value) {
        Map<String, Object> row = row(table, part, key);
        row.put("value", value);
        rows.put(key(table, part, key), row);
        history.add(row);
    }

    /** Writes a row as the operator does. */
    synchronized void write(String table, String key, Object value) {
        version++;
        put(table, "", key, Base64.getEncoder().encodeToString(Json.write(value).getBytes()));
        notifyAll();
    }

    private synchronized HttpServer.Response read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String target = query.getOrDefault("target", "");
        List<Object> found = new ArrayList<>();
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            if (row.get("table").equals(query.get("table"))
                    && row.get("part").equals(query.getOrDefault("part", ""))
                    && key.compareTo(from) >= 0
                    && (target.isEmpty() || key.compareTo(target) < 0)) {
                found.add(row);
            }
        }
        boolean more = found.size() > 500;
        return answer(200, more ? found.subList(0, 500) : found, more);
    }

    private synchronized HttpServer.Response feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (int index = history.size() - 1; index >= 0; index--) {
                Map<String, Object> row = history.get(index);
                if ((long) row.get("schemaVersion") <= after) {
                    break;
                }
                if (row.get("table").equals(query.get("table"))) {
                    changes.addFirst(row);
                }
            }
            long remaining = (deadline - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || remaining <= 0) {
                return answer(200, changes);
            }
            try {
                wait(remaining);
            } catch (InterruptedException e) {
                return answer(503, List.of());
            }
        }
    }

    private HttpServer.Response answer(int status, List<Object> found) {
        return answer(status, found, false);
    }

    private HttpServer.Response answer(int status, List<Object> found, boolean more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("hasMore", more);
        body.put("schemaVersion", version);
        body.put("nowMs", (System.nanoTime() - startedAt) / 1_000_000);
        return new HttpServer.Response(status, Json.write(body));
    }

    void close() {
        servers.forEach(HttpServer::close);
    }
}
