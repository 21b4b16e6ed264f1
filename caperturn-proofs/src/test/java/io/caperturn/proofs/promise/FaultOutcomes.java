package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Outcomes of the fault scenarios. Each scenario runs once, when a test class first needs its outcome.
 *
 * <p>Scenarios share a cluster. If it does not recover from the faults of a scenario by itself, the next one starts a
 * new cluster.
 */
final class FaultOutcomes {
    /** Settings with which a silent link is detected after 1 s. */
    static final Map<String, ?> FAST_LINK_SETTINGS = Map.of(
            "links",
            Map.of(
                    "heartbeatIntervalMilliseconds", 200,
                    "silenceTimeoutMilliseconds", 1_000,
                    "reconnectDelayMilliseconds", 50));

    private static final int SLOTS_PER_UPSTREAM = 4;
    private static final Map<List<Fault>, FaultOutcome> OUTCOMES = new HashMap<>();
    private static final Map<List<Fault>, AssertionError> FAILURES = new HashMap<>();
    private static ClusterFixture cluster;
    private static int clusterCount;

    private FaultOutcomes() {}

    /** Returns the tested sets of faults: none, each fault alone, and pairs whose effects combine. */
    static Stream<List<Fault>> cases() {
        List<List<Fault>> cases = new ArrayList<>();
        cases.add(List.of());
        for (Fault fault : Fault.values()) {
            cases.add(List.of(fault));
        }
        cases.add(List.of(Fault.ENTRY_KILLED, Fault.STORE_REPLY_LOST));
        cases.add(List.of(Fault.ENTRY_KILLED, Fault.SIDECAR_KILLED));
        cases.add(List.of(Fault.ENTRY_PAUSED, Fault.LINK_SILENT));
        cases.add(List.of(Fault.SIDECAR_KILLED, Fault.STORE_DOWN));
        return cases.stream();
    }

    static synchronized FaultOutcome outcomeOf(List<Fault> faults) {
        if (FAILURES.containsKey(faults)) {
            throw FAILURES.get(faults);
        }
        return OUTCOMES.computeIfAbsent(faults, FaultOutcomes::run);
    }

    private static FaultOutcome run(List<Fault> faults) {
        try {
            if (cluster == null) {
                clusterCount++;
                cluster = ClusterFixture.start("faults-" + clusterCount, clusterOptions());
            }
            FaultOutcome outcome = new FaultScenario(cluster, faults).run();
            writeReport(faults, outcome);
            if (!outcome.recovered()) {
                closeCluster();
            }
            return outcome;
        } catch (IOException | RuntimeException | AssertionError e) {
            closeCluster();
            AssertionError failure = new AssertionError("the scenario of " + faults + " failed to complete: " + e, e);
            FAILURES.put(faults, failure);
            throw failure;
        }
    }

    /** Writes the exchanges of a scenario to a file under {@code target/processes}, for the analysis of failures. */
    private static void writeReport(List<Fault> faults, FaultOutcome outcome) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(Instant.now() + " cluster " + clusterCount + " recovered " + outcome.recovered());
        outcome.exchanges().forEach(exchange -> lines.add(exchange.receivedAt() + " " + exchange));
        Files.write(
                Path.of("target", "processes", "outcome-" + faults.toString().replaceAll("[^A-Z_]+", "-") + ".txt"),
                lines);
    }

    private static void closeCluster() {
        if (cluster != null) {
            cluster.close();
            cluster = null;
        }
    }

    private static ClusterOptions clusterOptions() {
        // Two entry processes and three sidecar processes.
        return new ClusterOptions(
                2, 3, SLOTS_PER_UPSTREAM, List.of("assay", "cube-strength"), FAST_LINK_SETTINGS, FAST_LINK_SETTINGS);
    }
}
