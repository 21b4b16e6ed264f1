package io.caperturn.fleet.standin;

import com.sun.net.httpserver.HttpExchange;
import io.caperturn.jobs.message.MemberRecord;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's store: rows with versions, conditional transactions and a feed of changes.
 *
 * <p>A row is identified by its table, a part of the table and its key. Its version, {@code schemaVersion}, is that of
 * the store after the transaction which wrote it.
 */
final class StandInStore extends StandInHttpServer {
    private static final long RESPONSE_DELAY_MILLISECONDS = 3;
    /** Table of the records of processes. */
    private static final String MEMBER_TABLE = "caperturn-members";

    /** Rows by the text that {@link #rowKey} returns. */
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    /** All written rows and removals, in the order of their versions. */
    private final List<Map<String, Object>> changeHistory = new ArrayList<>();

    private final long startNanoseconds = System.nanoTime();
    private long version;
    private volatile int refusalStatus;
    private volatile boolean responsesLost;
    /** Addresses that readers find in the records of processes instead of their own, by the name of the process. */
    private final Map<String, String> replacedAddresses = new ConcurrentHashMap<>();

    StandInStore() throws IOException {}

    /** Sets the HTTP status with which all calls are refused; 0 accepts calls again. */
    void setRefusalStatus(int status) {
        refusalStatus = status;
    }

    /** Sets whether the connection of a transaction is closed without a response after the transaction is executed. */
    void setResponsesLost(boolean lost) {
        responsesLost = lost;
    }

    /** Sets the address that readers find in the record of a process instead of its own, such as that of a proxy. */
    void replaceAddress(String node, String address) {
        replacedAddresses.put(node, address);
    }

    private Map<String, Object> replaceAddressIn(Map<String, Object> row) {
        String address = replacedAddresses.get((String) row.get("key"));
        if (address == null || !row.get("table").equals(MEMBER_TABLE) || !(row.get("value") instanceof String value)) {
            return row;
        }
        try {
            MemberRecord member = MemberRecord.decode(
                    (String) row.get("key"), Base64.getDecoder().decode(value));
            byte[] replaced = new MemberRecord(
                            member.role(),
                            member.node(),
                            member.incarnation(),
                            address,
                            member.zone(),
                            member.upstream())
                    .toBytes();
            Map<String, Object> copy = new LinkedHashMap<>(row);
            copy.put("value", Base64.getEncoder().encodeToString(replaced));
            return copy;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a configuration row as the operator does. */
    void configure(Object configuration) {
        writeOperatorRow("config", configuration);
    }

    /** Requests the evacuation of a zone as the operator does. */
    void evacuate(String zone) {
        writeOperatorRow("evacuate/" + zone, Map.of());
    }

    /** Takes back the evacuation of a zone as the operator does. */
    void endEvacuation(String zone) {
        transact(Map.of(
                "precondition",
                List.of(),
                "put",
                List.of(),
                "remove",
                List.of(Map.of("table", "op", "part", "", "key", "evacuate/" + zone))));
    }

    private void writeOperatorRow(String key, Object value) {
        writeRow("op", "", key, Base64.getEncoder().encodeToString(write(value)));
    }

    /** Writes a row as another writer does; the value is normally encoded in base64. */
    synchronized void writeRow(String table, String part, String key, Object value) {
        version++;
        Map<String, Object> row = createRow(table, part, key);
        row.put("value", value);
        storeRow(row);
    }

    /** Returns the number of rows of a table. */
    synchronized long count(String table) {
        return rows.values().stream()
                .filter(row -> row.get("table").equals(table))
                .count();
    }

    @Override
    Response respond(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        Thread.sleep(RESPONSE_DELAY_MILLISECONDS);
        if (refusalStatus != 0) {
            return new Response(refusalStatus, Map.of());
        }
        return switch (path) {
            case "/rows-tx" -> {
                Response response = transact(body);
                // A status of 0 closes the connection.
                yield responsesLost ? new Response(0, Map.of()) : response;
            }
            case "/rows-get" -> read(query);
            case "/rows-feed" -> feed(query);
            default -> new Response(404, Map.of());
        };
    }

    private synchronized Response transact(Map<?, ?> body) {
        List<Object> current = new ArrayList<>();
        boolean conditionsMet = true;
        for (Object element : (List<?>) body.get("precondition")) {
            Map<?, ?> condition = (Map<?, ?>) element;
            Map<String, Object> stored = rows.get(rowKey(condition));
            if (stored != null) {
                current.add(stored);
            }
            // The version 0 requires that the row does not exist.
            conditionsMet &= (stored == null ? 0L : stored.get("schemaVersion")).equals(condition.get("schemaVersion"));
        }
        if (!conditionsMet) {
            return createResponse(412, current);
        }
        version++;
        for (Object element : (List<?>) body.get("put")) {
            Map<?, ?> requested = (Map<?, ?>) element;
            Map<String, Object> row = createRow(
                    (String) requested.get("table"), (String) requested.get("part"), (String) requested.get("key"));
            row.put("value", requested.get("value"));
            storeRow(row);
        }
        for (Object element : (List<?>) body.get("remove")) {
            Map<?, ?> requested = (Map<?, ?>) element;
            rows.remove(rowKey(requested));
            Map<String, Object> removal = createRow(
                    (String) requested.get("table"), (String) requested.get("part"), (String) requested.get("key"));
            removal.put("removed", true);
            changeHistory.add(removal);
        }
        notifyAll();
        return createResponse(200, List.of());
    }

    private Map<String, Object> createRow(String table, String part, String key) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("table", table);
        row.put("part", part);
        row.put("key", key);
        row.put("schemaVersion", version);
        return row;
    }

    private void storeRow(Map<String, Object> row) {
        rows.put(rowKey(row), row);
        changeHistory.add(row);
        notifyAll();
    }

    private static String rowKey(Map<?, ?> row) {
        return row.get("table") + "\n" + row.get("part") + "\n" + row.get("key");
    }

    private synchronized Response read(Map<String, String> query) {
        // The range of keys: the first is included, the end is not; an empty end means all later keys.
        String firstKey = query.getOrDefault("from", "");
        String endKey = query.getOrDefault("target", "");
        List<Object> found = new ArrayList<>();
        for (Map<String, Object> row : rows.values()) {
            String key = (String) row.get("key");
            if (row.get("table").equals(query.get("table"))
                    && row.get("part").equals(query.get("part"))
                    && key.compareTo(firstKey) >= 0
                    && (endKey.isEmpty() || key.compareTo(endKey) < 0)) {
                found.add(replaceAddressIn(row));
            }
        }
        return createResponse(200, found);
    }

    private synchronized Response feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadlineNanoseconds = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (Map<String, Object> row : changeHistory) {
                if (row.get("table").equals(query.get("table")) && (long) row.get("schemaVersion") > after) {
                    changes.add(replaceAddressIn(row));
                }
            }
            long remainingMilliseconds = (deadlineNanoseconds - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || remainingMilliseconds <= 0) {
                return createResponse(200, changes);
            }
            wait(remainingMilliseconds);
        }
    }

    private Response createResponse(int status, List<Object> found) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", found);
        body.put("hasMore", false);
        body.put("schemaVersion", version);
        body.put("nowMs", (System.nanoTime() - startNanoseconds) / 1_000_000);
        return new Response(status, body);
    }
}
