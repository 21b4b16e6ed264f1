package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.relay.RelayMode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that an accepted edit of the operators' table (of kinds of task and of teams) is in force on every process
 * within 5 s, and that the table version of a process never decreases.
 */
@Tag("process")
class TableInForceTest {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Pattern TABLE_VERSION_METRIC =
            Pattern.compile("(?m)^caperturn_table_version(?:\\{[^}]*})? ([0-9.E]+)$");
    private static final int CONCURRENT_EDITS = 8;
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;

    private static ClusterFixture cluster;
    private static int changeCount;

    /** Fault injected before an edit. The other entry process is the one that does not receive the edit. */
    enum EditFault {
        NONE,
        REPLY_OF_STORE_LOST,
        OTHER_ENTRY_CUT_OFF_FROM_STORE,
        OTHER_ENTRY_SILENT_TOWARDS_STORE,
        LINKS_SILENT,
        LINKS_CUT,
        SIDECAR_KILLED_AND_RESTARTED,
        ENTRY_PAUSED_AND_RESUMED
    }

    @BeforeAll
    static void start() throws IOException {
        // 2 entry processes, 2 sidecar processes, 4 slots per upstream.
        cluster = ClusterFixture.start(
                "table",
                new ClusterOptions(
                        2, 2, 4, List.of("assay"), FaultOutcomes.FAST_LINK_SETTINGS, FaultOutcomes.FAST_LINK_SETTINGS));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @EnumSource
    void acceptedEditIsInForceEverywhereWithinSeconds(EditFault fault) throws IOException {
        inject(fault);
        try {
            ClientResponse response = putChange(0, "change-" + fault, rowInForce());
            healAfterEdit(fault);
            assertEquals(OK, response.status(), response::toString);
            awaitInForce(response.body().path("version").asLong());
        } finally {
            healAllAndAwaitRecovery();
        }
    }

    @Test
    void versionNeverDecreasesOnAnyProcess() {
        Map<String, Long> lastVersions = new HashMap<>();
        List<String> decreases = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            putChange(round % 2, "monotone-" + round, rowInForce());
            cluster.entry(0).linkRelay().setMode(RelayMode.CUT);
            for (int sample = 0; sample < 5; sample++) {
                processes()
                        .forEach(process -> readTableVersion(process.address()).ifPresent(version -> {
                            Long previous = lastVersions.put(process.name(), version);
                            if (previous != null && previous > version) {
                                decreases.add(process.name() + " decreased from " + previous + " to " + version);
                            }
                        }));
            }
        }
        assertEquals(List.of(), decreases);
    }

    @Test
    void oneConcurrentEditSucceedsAndTheOthersReceiveItsRow() {
        ObjectNode row = rowInForce();
        List<CompletableFuture<ClientResponse>> concurrentEdits = IntStream.range(0, CONCURRENT_EDITS)
                .mapToObj(index -> CompletableFuture.supplyAsync(() ->
                        putChange(index % 2, "race-" + index, row.deepCopy().put("weight", 100 + index))))
                .toList();
        List<ClientResponse> responses =
                concurrentEdits.stream().map(CompletableFuture::join).toList();
        assertEquals(1, responses.stream().filter(ClientResponse::isSuccessful).count(), responses::toString);
        long weight = rowInForce().path("weight").asLong();
        responses.stream().filter(response -> !response.isSuccessful()).forEach(response -> {
            assertEquals(PRECONDITION_FAILED, response.status(), response::toString);
            assertEquals(weight, response.body().at("/rows/0/row/weight").asLong(), response::toString);
        });
    }

    @Test
    void repeatedChangeIsAcceptedOnce() {
        ObjectNode row = rowInForce();
        ClientResponse first = putChange(0, "again", row.deepCopy());
        ClientResponse second = putChange(1, "again", row.deepCopy());
        assertEquals(
                first.body().path("version").asLong(),
                second.body().path("version").asLong(),
                () -> first + " and " + second);
    }

    private void inject(EditFault fault) {
        switch (fault) {
            case NONE -> {}
            case REPLY_OF_STORE_LOST -> setStoreMode("reply-lost");
            case OTHER_ENTRY_CUT_OFF_FROM_STORE -> cutOffStore(RelayMode.REFUSE);
            case OTHER_ENTRY_SILENT_TOWARDS_STORE -> cutOffStore(RelayMode.TO_TARGET_ONLY);
            case LINKS_SILENT -> cluster.entry(0).linkRelay().setMode(RelayMode.SILENT);
            case LINKS_CUT -> cluster.entry(0).linkRelay().setMode(RelayMode.CUT);
            case SIDECAR_KILLED_AND_RESTARTED -> cluster.sidecar(0).process().kill();
            case ENTRY_PAUSED_AND_RESUMED -> cluster.entry(1).process().pause();
        }
    }

    /** Undoes some faults directly after the edit; the others last until the edit is in force. */
    private void healAfterEdit(EditFault fault) throws IOException {
        switch (fault) {
            case REPLY_OF_STORE_LOST -> setStoreMode("normal");
            case SIDECAR_KILLED_AND_RESTARTED -> cluster.restartSidecar(0);
            case ENTRY_PAUSED_AND_RESUMED -> cluster.entry(1).process().resume();
            default -> {}
        }
    }

    /**
     * Undoes all faults and waits until every process has the current table, so that the next test case is not
     * affected.
     */
    private void healAllAndAwaitRecovery() {
        setStoreMode("normal");
        cluster.entry(1).platformRelay().setMode(RelayMode.PASS);
        long version = tableInForce().path("version").asLong();
        Conditions.await(
                "every process has the current table version",
                TIMEOUT,
                () -> processesBehind(version).isEmpty());
    }

    private void awaitInForce(long version) {
        try {
            Conditions.await(
                    "version " + version + " on every process",
                    IN_FORCE_TIMEOUT,
                    () -> processesBehind(version).isEmpty());
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ", behind: " + processesBehind(version), e);
        }
    }

    private List<String> processesBehind(long version) {
        return processes()
                .filter(process -> readTableVersion(process.address()).orElse(0L) < version)
                .map(ObservedProcess::name)
                .toList();
    }

    /** Closes the connections of the second entry to the store, then sets the mode of its relay. */
    private void cutOffStore(RelayMode mode) {
        cluster.entry(1).platformRelay().setMode(RelayMode.CUT);
        cluster.entry(1).platformRelay().setMode(mode);
    }

    private void setStoreMode(String mode) {
        cluster.client().postControl(cluster.platform().address(), Map.of("mode", mode));
    }

    private ObjectNode rowInForce() {
        return (ObjectNode) tableInForce().path("kinds").get(0);
    }

    private JsonNode tableInForce() {
        return Conditions.awaitValue(
                "the table",
                TIMEOUT,
                () -> Optional.of(cluster.client()
                                .exchange("GET", cluster.entry(0).httpAddress(), "/v1/table", Map.of(), null))
                        .filter(ClientResponse::isSuccessful)
                        .map(ClientResponse::body));
    }

    /** Sends an edit of a row. Sets a new weight, except for change ids that start with {@code race}. */
    private ClientResponse putChange(int entryIndex, String changeId, ObjectNode row) {
        changeCount++;
        long expectedVersion = row.path("rowVersion").asLong();
        ObjectNode edited = row.deepCopy();
        if (!changeId.startsWith("race")) {
            edited.put("weight", 1 + changeCount);
        }
        ObjectNode change = TestkitJson.object()
                .put("changeId", changeId)
                .put("author", "operator-" + entryIndex)
                .put("dryRun", false);
        change.putArray("edits")
                .addObject()
                .put("expectedVersion", expectedVersion)
                .set("kind", edited);
        return cluster.client().exchange("PUT", cluster.entry(entryIndex).httpAddress(), "/v1/table", Map.of(), change);
    }

    private Stream<ObservedProcess> processes() {
        Stream<ObservedProcess> entries = IntStream.range(0, 2)
                .mapToObj(index -> new ObservedProcess(
                        "entry-" + index, cluster.entry(index).httpAddress()));
        Stream<ObservedProcess> sidecars = IntStream.range(0, cluster.sidecarCount())
                .mapToObj(index -> new ObservedProcess(
                        "sidecar-" + index, cluster.sidecar(index).process().address("announce")));
        return Stream.concat(entries, sidecars);
    }

    private Optional<Long> readTableVersion(HostAndPort process) {
        ClientResponse metrics = cluster.client().exchange("GET", process, "/metrics", Map.of(), null);
        Matcher matcher =
                TABLE_VERSION_METRIC.matcher(metrics.body().path("text").asText());
        return matcher.find() ? Optional.of((long) Double.parseDouble(matcher.group(1))) : Optional.empty();
    }

    /** Entry or sidecar with the address of its metrics. */
    private record ObservedProcess(String name, HostAndPort address) {}
}
