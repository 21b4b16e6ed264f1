package io.caperturn.review;

import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Stand-in of the platform's store: rows with versions, conditional transactions of at most a hundred entries, and a
 * feed of changes. A value has at most {@link #MAXIMUM_VALUE_BYTES}, and a transaction at most a megabyte.
 */
final class Store extends StandInServer {
    static final int MAXIMUM_VALUE_BYTES = 65_536;

    private static final int MAXIMUM_ENTRIES = 100;
    private static final int PAGE_ROWS = 500;
    private final EventRecord record;
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final long startNanoseconds = System.nanoTime();
    /** Addresses that readers get in place of those in the records, of the same length. */
    private final Map<String, String> proxies = new ConcurrentHashMap<>();

    private long version;
    private volatile long answerMilliseconds = 4;
    private volatile double lostShare;
    private volatile boolean lostOnesLate;
    private volatile String refusal = "";
    private volatile String refusedPart = "-";
    private volatile long slownessMilliseconds;

    Store(EventRecord record) {
        this.record = record;
    }

    /** Makes readers of the members see another address, that of a proxy, in place of a process's own. */
    void replaceAddress(String address, String proxy) {
        if (address.length() != proxy.length()) {
            throw new IllegalArgumentException("addresses of unequal length");
        }
        proxies.put(address, proxy);
    }

    void setAnswerMilliseconds(long milliseconds) {
        answerMilliseconds = milliseconds;
    }

    /** Makes a share of the transactions get no answer; they are carried out at once, or one to six seconds later. */
    void loseAnswers(double share, boolean late) {
        lostShare = share;
        lostOnesLate = late;
    }

    /** Holds answers to transactions back, which tell the newest version when they are sent. */
    void slowDown(long milliseconds) {
        slownessMilliseconds = milliseconds;
    }

    /** Turns all callers away: {@code busy} answers 503, {@code reset} closes connections; empty serves them again. */
    void turnAway(String how) {
        refusal = how;
    }

    /** Makes one part of all tables unavailable; no part has the name {@code -}. */
    void turnAwayPart(String part) {
        refusedPart = part;
    }

    /** Writes a row as the operator does. */
    synchronized void writeOperatorRow(String key, Object value) {
        version++;
        put(Map.of(
                "table", "op", "part", "", "key", key, "value", Base64.getEncoder().encodeToString(Json.write(value))));
    }

    @Override
    Answer answer(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        Thread.sleep(answerMilliseconds);
        if (!refusal.isEmpty()) {
            return new Answer(refusal.equals("busy") ? 503 : 0, Map.of());
        }
        if (refusedPart.equals(query.get("part")) || path.equals("/rows-tx") && isOfPart(body, refusedPart)) {
            return new Answer(503, Map.of());
        }
        return switch (path) {
            case "/rows-tx" -> {
                if (ThreadLocalRandom.current().nextDouble() >= lostShare) {
                    Answer answer = transact(body);
                    long slowness = slownessMilliseconds;
                    if (slowness > 0) {
                        Thread.sleep(slowness);
                        synchronized (this) {
                            answer.body().computeIfPresent("schemaVersion", (name, own) -> version);
                        }
                    }
                    yield answer;
                }
                if (lostOnesLate) {
                    Thread.sleep(ThreadLocalRandom.current().nextLong(1_000, 6_000));
                }
                transact(body);
                yield new Answer(0, Map.of());
            }
            case "/rows-get" -> read(query);
            case "/rows-feed" -> follow(query);
            default -> new Answer(404, Map.of());
        };
    }

    private static boolean isOfPart(Map<?, ?> body, String part) {
        return ((List<?>) body.get("precondition"))
                .stream().anyMatch(condition -> part.equals(((Map<?, ?>) condition).get("part")));
    }

    private synchronized Answer transact(Map<?, ?> body) {
        List<?> preconditions = (List<?>) body.get("precondition");
        List<?> puts = (List<?>) body.get("put");
        List<?> removes = (List<?>) body.get("remove");
        if (preconditions.size() + puts.size() + removes.size() > MAXIMUM_ENTRIES) {
            return new Answer(400, Map.of());
        }
        long bytes = 0;
        for (Object element : puts) {
            int length = Base64.getDecoder().decode((String) ((Map<?, ?>) element).get("value")).length;
            bytes += length;
            if (length > MAXIMUM_VALUE_BYTES) {
                record.add("store refused a value of %d bytes of %s", length, ((Map<?, ?>) element).get("key"));
                return new Answer(400, Map.of());
            }
        }
        if (bytes > 1 << 20) {
            record.add("store refused a transaction of %d bytes", bytes);
            return new Answer(400, Map.of());
        }
        List<Object> current = new ArrayList<>();
        boolean met = true;
        for (Object element : preconditions) {
            Map<?, ?> condition = (Map<?, ?>) element;
            Map<String, Object> stored = rows.get(name(condition));
            if (stored != null) {
                current.add(stored);
            }
            met &= (stored == null ? 0L : (long) stored.get("schemaVersion")) == (long) condition.get("schemaVersion");
        }
        if (!met) {
            return result(412, current);
        }
        version++;
        puts.forEach(element -> put((Map<?, ?>) element));
        for (Object element : removes) {
            Map<?, ?> removed = (Map<?, ?>) element;
            rows.remove(name(removed));
            Map<String, Object> row = row(removed);
            row.put("removed", true);
            history.add(row);
        }
        notifyAll();
        return result(200, List.of());
    }

    private void put(Map<?, ?> element) {
        Map<String, Object> row = row(element);
        row.put("value", element.get("value"));
        rows.put(name(row), row);
        history.add(row);
        notifyAll();
    }

    private Map<String, Object> row(Map<?, ?> element) {
        Map<String, Object> row = new LinkedHashMap<>();
        for (String field : List.of("table", "part", "key")) {
            row.put(field, element.get(field));
        }
        row.put("schemaVersion", version);
        return row;
    }

    private static String name(Map<?, ?> row) {
        return row.get("table") + "\n" + row.get("part") + "\n" + row.get("key");
    }

    private synchronized Answer read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        String target = query.getOrDefault("target", "");
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            if (row.get("table").equals(query.get("table"))
                    && row.get("part").equals(query.getOrDefault("part", ""))
                    && key.compareTo(from) >= 0
                    && (target.isEmpty() || key.compareTo(target) < 0)) {
                if (found.size() == PAGE_ROWS) {
                    more = true;
                    break;
                }
                found.add(shown(row));
            }
        }
        Answer answer = result(200, found);
        answer.body().put("hasMore", more);
        return answer;
    }

    private synchronized Answer follow(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (Map<String, Object> row : history) {
                if (row.get("table").equals(query.get("table")) && (long) row.get("schemaVersion") > after) {
                    changes.add(shown(row));
                }
            }
            long remaining = (deadline - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || remaining <= 0) {
                return result(200, changes);
            }
            wait(remaining);
        }
    }

    /** Returns a row as readers get it, with the addresses of proxies. */
    private Map<String, Object> shown(Map<String, Object> row) {
        if (proxies.isEmpty() || !row.get("table").equals("caperturn-members") || row.get("value") == null) {
            return row;
        }
        byte[] value = Base64.getDecoder().decode((String) row.get("value"));
        proxies.forEach((address, proxy) -> {
            byte[] wanted = address.getBytes(StandardCharsets.US_ASCII);
            for (int at = 0; at + wanted.length <= value.length; at++) {
                if (Arrays.equals(value, at, at + wanted.length, wanted, 0, wanted.length)) {
                    System.arraycopy(proxy.getBytes(StandardCharsets.US_ASCII), 0, value, at, wanted.length);
                }
            }
        });
        Map<String, Object> copy = new LinkedHashMap<>(row);
        copy.put("value", Base64.getEncoder().encodeToString(value));
        return copy;
    }

    private Answer result(int status, List<Object> found) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("schemaVersion", version);
        body.put("nowMs", (System.nanoTime() - startNanoseconds) / 1_000_000);
        return new Answer(status, body);
    }
}
