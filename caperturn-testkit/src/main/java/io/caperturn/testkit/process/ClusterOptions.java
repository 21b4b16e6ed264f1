package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.http.Json;
import java.util.List;
import java.util.Map;

/**
 * What a cluster is made of.
 *
 * @param entries how many entries
 * @param sidecars how many sidecars, each with one upstream
 * @param slots the slots of each upstream
 * @param kinds the kinds of work in the table, all served by every upstream
 * @param entrySettings members added to each entry's settings
 * @param sidecarSettings members added to each sidecar's settings
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

    /** Copies and checks the ranges. */
    public ClusterOptions {
        kinds = List.copyOf(kinds);
        entrySettings = Map.copyOf(entrySettings);
        sidecarSettings = Map.copyOf(sidecarSettings);
        if (entries < 1 || sidecars < 1 || slots < 1) {
            throw new IllegalArgumentException("entries, sidecars and slots must be positive");
        }
    }

    /**
     * Returns the transaction that fills the table of a new platform.
     *
     * @return the body of {@code POST /v1/transact}
     */
    public ObjectNode seed() {
        ObjectNode transaction = Json.object();
        transaction.putArray("reads");
        var writes = transaction.putArray("writes");
        for (String kind : kinds) {
            ObjectNode row = Json.object()
                    .put("kind", kind)
                    .put("weight", 1)
                    .put("urgency", "NORMAL")
                    .put("taskTimeoutMilliseconds", TASK_TIMEOUT_MILLISECONDS)
                    .put("changeId", "seed");
            row.putObject("limits");
            writes.add(write("kinds", kind, row));
        }
        writes.add(write("versions", "table", Json.object().put("version", 1).put("changeId", "seed")));
        return transaction;
    }

    private static ObjectNode write(String table, String key, ObjectNode value) {
        return Json.object()
                .put("table", table)
                .put("key", key)
                .put("expectedVersion", 0)
                .put("value", value.toString());
    }
}
