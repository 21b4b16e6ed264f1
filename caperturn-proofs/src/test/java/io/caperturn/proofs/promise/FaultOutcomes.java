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
 * Outcomes of the scenarios, each of which is run once and then judged by the tests of several promises.
 *
 * <p>All scenarios share a cluster as long as it recovers from their faults by itself; one that does not is replaced.
 */
final class FaultOutcomes {
    /** Settings under which a fault is noticed within about a second. */
    static final Map<String, ?> QUICK_LINKS = Map.of(
            "links",
            Map.of(
                    "heartbeatIntervalMilliseconds", 200,
                    "silenceTimeoutMilliseconds", 1_000,
                    "reconnectDelayMilliseconds", 50));

    private static final int SLOTS = 4;
    private static final Map<List<Fault>, FaultOutcome> OUTCOMES = new HashMap<>();
    private static final Map<List<Fault>, AssertionError> FAILURES = new HashMap<>();
    private static ClusterFixture cluster;
    private static int clusters;

    private FaultOutcomes() {}

    /** Lists the faults that a promise is tested under: none, each alone, and pairs of those that help one another. */
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

    static synchronized FaultOutcome of(List<Fault> faults) {
        if (FAILURES.containsKey(faults)) {
            throw FAILURES.get(faults);
        }
        return OUTCOMES.computeIfAbsent(faults, FaultOutcomes::run);
    }

    private static FaultOutcome run(List<Fault> faults) {
        try {
            if (cluster == null) {
                clusters++;
                cluster = ClusterFixture.start("faults-" + clusters, options());
            }
            FaultOutcome outcome = new FaultScenario(cluster, faults).run();
            report(faults, outcome);
            if (!outcome.recovered()) {
                discard();
            }
            return outcome;
        } catch (IOException | RuntimeException | AssertionError e) {
            discard();
            AssertionError failure = new AssertionError("the scenario of " + faults + " did not end: " + e, e);
            FAILURES.put(faults, failure);
            throw failure;
        }
    }

    /** Keeps the story of a scenario for whoever looks into a failure. */
    private static void report(List<Fault> faults, FaultOutcome outcome) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(Instant.now() + " cluster " + clusters + " recovered " + outcome.recovered());
        outcome.exchanges().forEach(exchange -> lines.add(exchange.answeredAt() + " " + exchange));
        Files.write(
                Path.of("target", "processes", "outcome-" + faults.toString().replaceAll("[^A-Z_]+", "-") + ".txt"),
                lines);
    }

    private static void discard() {
        if (cluster != null) {
            cluster.close();
            cluster = null;
        }
    }

    private static ClusterOptions options() {
        return new ClusterOptions(2, 3, SLOTS, List.of("assay", "cube-strength"), QUICK_LINKS, QUICK_LINKS);
    }
}
