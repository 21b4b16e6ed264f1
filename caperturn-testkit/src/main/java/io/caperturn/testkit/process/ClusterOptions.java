package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.http.TestkitJson;
import java.util.List;
import java.util.Map;

/**
 * Size and settings of a cluster.
 *
 * @param entryCount the number of entry processes, which accept submissions
 * @param sidecarCount the number of sidecar processes, each with one upstream
 * @param slotsPerUpstream the maximum number of concurrent tasks of each upstream
 * @param kinds the kinds of task in the operators' table, all served by every upstream
 * @param entrySettings members that replace or extend the settings of each entry
 * @param sidecarSettings members that replace or extend the settings of each sidecar
 */
public record ClusterOptions(
        int entryCount,
        int sidecarCount,
        int slotsPerUpstream,
        List<String> kinds,
        Map<String, ?> entrySettings,
        Map<String, ?> sidecarSettings) {
    /** Two entries and three sidecars; 8 slots per upstream. */
    public static final ClusterOptions DEFAULT =
            new ClusterOptions(2, 3, 8, List.of("assay", "cube-strength"), Map.of(), Map.of());

    private static final int TASK_TIMEOUT_MILLISECONDS = 10_000;

    /** Copies the collections and checks the ranges. */
    public ClusterOptions {
        kinds = List.copyOf(kinds);
        entrySettings = Map.copyOf(entrySettings);
        sidecarSettings = Map.copyOf(sidecarSettings);
        if (entryCount < 1 || sidecarCount < 1 || slotsPerUpstream < 1) {
            throw new IllegalArgumentException("entries, sidecars and slots must be positive");
        }
    }

    /**
     * Returns the transaction that writes the operators' initial table to the platform's store, which must be empty.
     *
     * @return the JSON body of {@code POST /v1/transact}
     */
    public ObjectNode initialTableTransaction() {
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
            writes.add(rowInsertion("kinds", kind, row));
        }
        writes.add(rowInsertion(
                "versions", "table", TestkitJson.object().put("version", 1).put("changeId", "seed")));
        return transaction;
    }

    private static ObjectNode rowInsertion(String table, String key, ObjectNode value) {
        return TestkitJson.object()
                .put("table", table)
                .put("key", key)
                .put("expectedVersion", 0)
                .put("value", value.toString());
    }
}
