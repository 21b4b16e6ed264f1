package io.caperturn.fleet.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: rows with conditions and versions, and feeds of changes. */
final class StandInStore extends StandInHttp {
    private static final long CALL_MILLISECONDS = 3;

    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final long begun = System.nanoTime();
    private long version;
    private volatile int refusal;
    private volatile boolean answersLost;

    StandInStore() throws IOException {}

    /** Refuses all calls with a status; 0 ends that. */
    void refuse(int status) {
        refusal = status;
    }

    /** Does writes and closes the connection instead of answering. */
    void loseAnswers(boolean lost) {
        answersLost = lost;
    }

    /** Writes a configuration as the operator does. */
    synchronized void configure(Object configuration) {
        version++;
        Map<String, Object> row = row("op", "", "config");
        row.put("value", Base64.getEncoder().encodeToString(write(configuration)));
        put(row);
    }

    synchronized long count(String table) {
        return rows.values().stream()
                .filter(row -> row.get("table").equals(table))
                .count();
    }

    @Override
    Reply reply(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        Thread.sleep(CALL_MILLISECONDS);
        if (refusal != 0) {
            return new Reply(refusal, Map.of());
        }
        return switch (path) {
            case "/rows-tx" -> {
                Reply reply = transact(body);
                yield answersLost ? new Reply(0, Map.of()) : reply;
            }
            case "/rows-get" -> read(query);
            case "/rows-feed" -> feed(query);
            default -> new Reply(404, Map.of());
        };
    }

    private synchronized Reply transact(Map<?, ?> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object entry : (List<?>) body.get("precondition")) {
            Map<?, ?> check = (Map<?, ?>) entry;
            Map<String, Object> stored = rows.get(index(check));
            if (stored != null) {
                current.add(stored);
            }
            holds &= (stored == null ? 0L : stored.get("schemaVersion")).equals(check.get("schemaVersion"));
        }
        if (!holds) {
            return answer(412, current);
        }
        version++;
        for (Object entry : (List<?>) body.get("put")) {
            Map<?, ?> given = (Map<?, ?>) entry;
            Map<String, Object> row =
                    row((String) given.get("table"), (String) given.get("part"), (String) given.get("key"));
            row.put("value", given.get("value"));
            put(row);
        }
        for (Object entry : (List<?>) body.get("remove")) {
            Map<?, ?> given = (Map<?, ?>) entry;
            rows.remove(index(given));
            Map<String, Object> gone =
                    row((String) given.get("table"), (String) given.get("part"), (String) given.get("key"));
            gone.put("removed", true);
            history.add(gone);
        }
        notifyAll();
        return answer(200, List.of());
    }

    private Map<String, Object> row(String table, String part, String key) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("schemaVersion", version);
        return row;
    }

    private void put(Map<String, Object> row) {
        rows.put(index(row), row);
        history.add(row);
        notifyAll();
    }

    private static String index(Map<?, ?> row) {
        return row.get("table") + "\n" + row.get("part") + "\n" + row.get("key");
    }

    private synchronized Reply read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String until = query.getOrDefault("target", "");
        List<Object> found = new ArrayList<>();
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            if (row.get("table").equals(query.get("table"))
                    && row.get("part").equals(query.get("part"))
                    && key.compareTo(from) >= 0
                    && (until.isEmpty() || key.compareTo(until) < 0)) {
                found.add(row);
            }
        }
        return answer(200, found);
    }

    private synchronized Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (Map<String, Object> row : history) {
                if (row.get("table").equals(query.get("table")) && (long) row.get("schemaVersion") > after) {
                    changes.add(row);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                return answer(200, changes);
            }
            wait(left);
        }
    }

    private Reply answer(int status, List<Object> found) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("hasMore", false);
        body.put("schemaVersion", version);
        body.put("nowMs", (System.nanoTime() - begun) / 1_000_000);
        return new Reply(status, body);
    }
}
