import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it; loses nothing that it has acknowledged. */
final class StoreStandIn extends StandInServer {
    /** Limits of the settings and of the page. */
    static final int ROW_BYTES = 65_536;

    private static final int CALL_BYTES = 1_000_000;
    private static final int CALL_ENTRIES = 100;
    private static final int PAGE_ROWS = 500;
    private static final long TRANSACTION_MILLISECONDS = 3;

    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private long version;
    private volatile int refusalStatus;
    private volatile long oversizedCalls;

    StoreStandIn(InetSocketAddress address) {
        super(address);
    }

    /** Sets the status with which all calls of the system are refused; 0 accepts them again. */
    void refuse(int status) {
        refusalStatus = status;
    }

    /** Returns how many transactions were refused because they exceed a limit of the store. */
    long oversizedCalls() {
        return oversizedCalls;
    }

    /** Writes the configuration as the operator does. */
    synchronized void configure(Map<String, Object> configuration) {
        version++;
        Map<String, Object> row = row("op", "", "config");
        row.put("value", Base64.getEncoder().encodeToString(Json.write(configuration)));
        store(row);
    }

    @Override
    Response respond(Request request) throws InterruptedException {
        if (refusalStatus != 0) {
            return new Response(refusalStatus, Map.of());
        }
        return switch (request.path()) {
            case "/rows-tx" -> {
                Thread.sleep(TRANSACTION_MILLISECONDS);
                yield transact(request.body());
            }
            case "/rows-get" -> read(request.query());
            case "/rows-feed" -> feed(request.query());
            default -> new Response(404, Map.of());
        };
    }

    private synchronized Response transact(Map<?, ?> body) {
        List<?> preconditions = (List<?>) body.get("precondition");
        List<?> puts = (List<?>) body.get("put");
        List<?> removes = (List<?>) body.get("remove");
        int bytes = 0;
        boolean rowTooLarge = false;
        for (Object element : puts) {
            String value = (String) ((Map<?, ?>) element).get("value");
            bytes += value.length();
            rowTooLarge |= Base64.getDecoder().decode(value).length > ROW_BYTES;
        }
        if (rowTooLarge || bytes > CALL_BYTES || preconditions.size() + puts.size() + removes.size() > CALL_ENTRIES) {
            oversizedCalls++;
            return new Response(400, Map.of("reason", "limit"));
        }
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object element : preconditions) {
            Map<?, ?> condition = (Map<?, ?>) element;
            Map<String, Object> stored = rows.get(key(condition));
            if (stored != null) {
                current.add(stored);
            }
            holds &= (stored == null ? 0L : stored.get("schemaVersion")).equals(condition.get("schemaVersion"));
        }
        if (!holds) {
            return answer(412, current, false);
        }
        version++;
        for (Object element : puts) {
            Map<?, ?> put = (Map<?, ?>) element;
            Map<String, Object> row =
                    row((String) put.get("table"), (String) put.get("part"), (String) put.get("key"));
            row.put("value", put.get("value"));
            store(row);
        }
        for (Object element : removes) {
            Map<?, ?> removed = (Map<?, ?>) element;
            if (rows.remove(key(removed)) != null) {
                Map<String, Object> row =
                        row((String) removed.get("table"), (String) removed.get("part"), (String) removed.get("key"));
                row.put("removed", true);
                history.add(row);
            }
        }
        notifyAll();
        return answer(200, List.of(), false);
    }

    private Map<String, Object> row(String table, String part, String key) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("schemaVersion", version);
        return row;
    }

    private void store(Map<String, Object> row) {
        rows.put(key(row), row);
        history.add(row);
        notifyAll();
    }

    private static String key(Map<?, ?> row) {
        return row.get("table") + "\n" + row.get("part") + "\n" + row.get("key");
    }

    private synchronized Response read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String target = query.getOrDefault("target", "");
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            if (row.get("table").equals(query.get("table"))
                    && row.get("part").equals(query.getOrDefault("part", ""))
                    && key.compareTo(from) >= 0
                    && (target.isEmpty() || key.compareTo(target) < 0)) {
                bytes += ((String) row.get("value")).length();
                if (found.size() == PAGE_ROWS || bytes > CALL_BYTES && !found.isEmpty()) {
                    return answer(200, found, true);
                }
                found.add(row);
            }
        }
        return answer(200, found, false);
    }

    private synchronized Response feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
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
                return answer(200, changes, false);
            }
            wait(remaining);
        }
    }

    private Response answer(int status, List<Object> found, boolean more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("hasMore", more);
        body.put("schemaVersion", version);
        body.put("nowMs", (System.nanoTime() - startedAt) / 1_000_000);
        return new Response(status, body);
    }
}
