package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.Json;
import io.caperturn.testkit.process.ClientAnswer;
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

@Tag("process")
class TableInForceTest {
    private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Pattern VERSION = Pattern.compile("(?m)^caperturn_table_version(?:\\{[^}]*})? ([0-9.E]+)$");
    private static final int OPERATORS = 8;
    private static final int OK = 200;
    private static final int CONFLICT = 412;

    private static ClusterFixture cluster;
    private static int changes;

    /** What fails at the moment of an edit, and stays so until it is in force. */
    enum Trouble {
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
        cluster = ClusterFixture.start(
                "table",
                new ClusterOptions(2, 2, 4, List.of("assay"), FaultOutcomes.QUICK_LINKS, FaultOutcomes.QUICK_LINKS));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @EnumSource
    void acceptedEditIsInForceEverywhereWithinSeconds(Trouble trouble) throws IOException {
        bringAbout(trouble);
        try {
            ClientAnswer accepted = change(0, "change-" + trouble, rowInForce());
            endForEdit(trouble);
            assertEquals(OK, accepted.status(), accepted::toString);
            awaitInForce(accepted.body().path("version").asLong());
        } finally {
            endForAll();
        }
    }

    @Test
    void versionNeverFallsOnAnyProcess() {
        Map<String, Long> highest = new HashMap<>();
        List<String> falls = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            change(round % 2, "monotone-" + round, rowInForce());
            cluster.entry(0).toLinks().mode(RelayMode.CUT);
            for (int sample = 0; sample < 5; sample++) {
                processes()
                        .forEach(process -> versionAt(process.endpoint()).ifPresent(version -> {
                            Long before = highest.put(process.name(), version);
                            if (before != null && before > version) {
                                falls.add(process.name() + " fell from " + before + " to " + version);
                            }
                        }));
            }
        }
        assertEquals(List.of(), falls);
    }

    @Test
    void oneOfRacingOperatorsWinsAndTheOthersSeeItsRow() {
        ObjectNode row = rowInForce();
        List<CompletableFuture<ClientAnswer>> racing = IntStream.range(0, OPERATORS)
                .mapToObj(index -> CompletableFuture.supplyAsync(
                        () -> change(index % 2, "race-" + index, row.deepCopy().put("weight", 100 + index))))
                .toList();
        List<ClientAnswer> answers =
                racing.stream().map(CompletableFuture::join).toList();
        assertEquals(1, answers.stream().filter(ClientAnswer::isComplete).count(), answers::toString);
        long weight = rowInForce().path("weight").asLong();
        answers.stream().filter(answer -> !answer.isComplete()).forEach(answer -> {
            assertEquals(CONFLICT, answer.status(), answer::toString);
            assertEquals(weight, answer.body().at("/rows/0/row/weight").asLong(), answer::toString);
        });
    }

    @Test
    void sameChangeSentAgainIsAcceptedOnce() {
        ObjectNode row = rowInForce();
        ClientAnswer first = change(0, "again", row.deepCopy());
        ClientAnswer second = change(1, "again", row.deepCopy());
        assertEquals(
                first.body().path("version").asLong(),
                second.body().path("version").asLong(),
                () -> first + " and " + second);
    }

    private void bringAbout(Trouble trouble) {
        switch (trouble) {
            case NONE -> {}
            case REPLY_OF_STORE_LOST -> store("reply-lost");
            case OTHER_ENTRY_CUT_OFF_FROM_STORE -> cutOff(RelayMode.REFUSE);
            case OTHER_ENTRY_SILENT_TOWARDS_STORE -> cutOff(RelayMode.TO_TARGET_ONLY);
            case LINKS_SILENT -> cluster.entry(0).toLinks().mode(RelayMode.SILENT);
            case LINKS_CUT -> cluster.entry(0).toLinks().mode(RelayMode.CUT);
            case SIDECAR_KILLED_AND_RESTARTED -> cluster.sidecar(0).process().kill();
            case ENTRY_PAUSED_AND_RESUMED -> cluster.entry(1).process().pause();
        }
    }

    /** Ends what only the edit had to meet; the rest lasts until the edit is in force. */
    private void endForEdit(Trouble trouble) throws IOException {
        switch (trouble) {
            case REPLY_OF_STORE_LOST -> store("normal");
            case SIDECAR_KILLED_AND_RESTARTED -> cluster.restartSidecar(0);
            case ENTRY_PAUSED_AND_RESUMED -> cluster.entry(1).process().resume();
            default -> {}
        }
    }

    /** Ends every trouble and waits until the cluster is whole again, so that the next one begins afresh. */
    private void endForAll() {
        store("normal");
        cluster.entry(1).toPlatform().mode(RelayMode.PASS);
        long version = rowsInForce().path("version").asLong();
        Conditions.await("the cluster is whole", TIMEOUT, () -> behind(version).isEmpty());
    }

    private void awaitInForce(long version) {
        try {
            Conditions.await(
                    "version " + version + " on every process",
                    IN_FORCE_WITHIN,
                    () -> behind(version).isEmpty());
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ", behind: " + behind(version), e);
        }
    }

    private List<String> behind(long version) {
        return processes()
                .filter(process -> versionAt(process.endpoint()).orElse(0L) < version)
                .map(Observed::name)
                .toList();
    }

    private void cutOff(RelayMode mode) {
        cluster.entry(1).toPlatform().mode(RelayMode.CUT);
        cluster.entry(1).toPlatform().mode(mode);
    }

    private void store(String mode) {
        cluster.client().control(cluster.platform().address(), Map.of("mode", mode));
    }

    private ObjectNode rowInForce() {
        return (ObjectNode) rowsInForce().path("kinds").get(0);
    }

    private JsonNode rowsInForce() {
        return Conditions.awaitValue(
                "the table",
                TIMEOUT,
                () -> Optional.of(cluster.client()
                                .exchange("GET", cluster.entry(0).http(), "/v1/table", Map.of(), null))
                        .filter(ClientAnswer::isComplete)
                        .map(ClientAnswer::body));
    }

    private ClientAnswer change(int entry, String changeId, ObjectNode row) {
        changes++;
        long expected = row.path("rowVersion").asLong();
        ObjectNode edited = row.deepCopy();
        if (!changeId.startsWith("race")) {
            edited.put("weight", 1 + changes);
        }
        ObjectNode change = Json.object()
                .put("changeId", changeId)
                .put("author", "operator-" + entry)
                .put("dryRun", false);
        change.putArray("edits").addObject().put("expectedVersion", expected).set("kind", edited);
        return cluster.client().exchange("PUT", cluster.entry(entry).http(), "/v1/table", Map.of(), change);
    }

    private Stream<Observed> processes() {
        Stream<Observed> entries = IntStream.range(0, 2)
                .mapToObj(index ->
                        new Observed("entry-" + index, cluster.entry(index).http()));
        Stream<Observed> sidecars = IntStream.range(0, cluster.sidecarCount())
                .mapToObj(index -> new Observed(
                        "sidecar-" + index, cluster.sidecar(index).process().endpoint("announce")));
        return Stream.concat(entries, sidecars);
    }

    private Optional<Long> versionAt(Endpoint process) {
        ClientAnswer metrics = cluster.client().exchange("GET", process, "/metrics", Map.of(), null);
        Matcher matcher = VERSION.matcher(metrics.body().path("text").asText());
        return matcher.find() ? Optional.of((long) Double.parseDouble(matcher.group(1))) : Optional.empty();
    }

    /** Process of the product with the address of its metrics. */
    private record Observed(String name, Endpoint endpoint) {}
}
