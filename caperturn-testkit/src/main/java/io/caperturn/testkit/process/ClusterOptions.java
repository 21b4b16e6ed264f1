package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.http.TestkitJson;
import java.util.List;
import java.util.Map;

/**
 * Size and settings of a cluster.
 *
 * @param entries the number of entries
 * @param sidecars the number of sidecars, each with one upstream
 * @param slots the number of slots of each upstream
 * @param kinds the kinds of work in the table, all served by every upstream
 * @param entrySettings members that replace or extend the settings of each entry
 * @param sidecarSettings members that replace or extend the settings of each sidecar
 */
public record ClusterOptions(
        int entries,
        int sidecars,
        int slots,
        List<String> kinds,
        Map<String, ?> entrySettings,
        Map<String, ?> sidecarSettings) {
    /** Two entries and three sidecars with 8 slots each. */
    public static final ClusterOptions DEFAULT =
            new ClusterOptions(2, 3, 8, List.of("assay", "cube-strength"), Map.of(), Map.of());

    private static final int TASK_TIMEOUT_MILLISECONDS = 10_000;

    /** Copies the collections and checks the ranges. */
    public ClusterOptions {
        kinds = List.copyOf(kinds);
        entrySettings = Map.copyOf(entrySettings);
        sidecarSettings = Map.copyOf(sidecarSettings);
        if (entries < 1 || sidecars < 1 || slots < 1) {
            throw new IllegalArgumentException("entries, sidecars and slots must be positive");
        }
    }

    /**
     * Returns the transaction that writes the initial table to an empty platform.
     *
     * @return the JSON body of {@code POST /v1/transact}
     */
    public ObjectNode seedTransaction() {
        ObjectNode transaction = TestkitJson.object();
        transaction.putArray("reads");
        var writes = transaction.putArray("writes");
        for (String kind : kinds) {
            ObjectNode row = TestkitJson.object()
                    .put("kind", kind)
                    .put("weight", 1)
                    .put("urgency", "NORMAL")
                    .put("taskTimeoutMilliseconds", TASK_TIMEOUT_MILLISECONDS)
                    .put("changeId", "seed");
            row.putObject("limits");
            writes.add(write("kinds", kind, row));
        }
        writes.add(write(
                "versions", "table", TestkitJson.object().put("version", 1).put("changeId", "seed")));
        return transaction;
    }

    private static ObjectNode write(String table, String key, ObjectNode value) {
        return TestkitJson.object()
                .put("table", table)
                .put("key", key)
                .put("expectedVersion", 0)
                .put("value", value.toString());
    }
}
