package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.Submission;
import io.caperturn.testkit.process.UpstreamRecords;
import io.caperturn.testkit.relay.RelayMode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

@Tag("process")
class LeavingUpstreamTest {
    private static final String LEAVING = "upstream-0";
    private static final Duration GRACE = Duration.ofSeconds(3);
    private static final Duration OBSERVED = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Map<String, ?> SIDECAR_SETTINGS = Map.of(
            "upstream",
            Map.of(
                    "announcementTimeoutMilliseconds", 2_500,
                    "notStartedStatuses", List.of(),
                    "queuedPerSlot", 1,
                    "connectionIdleMilliseconds", 15_000));

    private static ClusterFixture cluster;
    private static int jobs;

    /** How an upstream leaves. */
    enum Departure {
        SAYS_SO,
        FALLS_SILENT,
        SAYS_SO_WHILE_LINKS_ARE_SILENT,
        SAYS_SO_WHILE_ENTRY_IS_PAUSED
    }

    @BeforeAll
    static void start() throws IOException {
        cluster = ClusterFixture.start(
                "leaving", new ClusterOptions(2, 2, 4, List.of("assay"), FaultOutcomes.QUICK_LINKS, SIDECAR_SETTINGS));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @EnumSource
    void startsNothingNewAfterItsGrace(Departure departure) {
        awaitStartsAtLeavingUpstream();
        Instant left = Instant.now();
        leave(departure);
        Instant gate = left.plus(GRACE);
        keepSubmittingUntil(gate.plus(OBSERVED));
        UpstreamRecords records = cluster.records();
        comeBack(departure);
        assertEquals(List.of(), records.startsAfter(LEAVING, gate));
        assertTrue(!records.startsAfter("upstream-1", gate).isEmpty(), "work went on elsewhere");
    }

    private void leave(Departure departure) {
        switch (departure) {
            case SAYS_SO -> state("leaving");
            case FALLS_SILENT -> control(Map.of("sidecar", nowhere()));
            case SAYS_SO_WHILE_LINKS_ARE_SILENT -> {
                cluster.entry(0).toLinks().mode(RelayMode.SILENT);
                cluster.entry(1).toLinks().mode(RelayMode.SILENT);
                state("leaving");
            }
            case SAYS_SO_WHILE_ENTRY_IS_PAUSED -> {
                cluster.entry(0).process().pause();
                state("leaving");
            }
        }
    }

    private void comeBack(Departure departure) {
        if (departure == Departure.SAYS_SO_WHILE_ENTRY_IS_PAUSED) {
            cluster.entry(0).process().resume();
        }
        control(Map.of(
                "state",
                "serving",
                "sidecar",
                cluster.sidecar(0).process().endpoint("announce").toString()));
    }

    private void state(String state) {
        control(Map.of("state", state));
    }

    private void control(Map<String, ?> changes) {
        cluster.client().control(cluster.sidecar(0).upstream().endpoint("http"), changes);
    }

    /** The platform knows nothing of announcements, so those sent there are lost. */
    private static String nowhere() {
        return cluster.platform().address().toString();
    }

    private void awaitStartsAtLeavingUpstream() {
        Instant begun = Instant.now();
        Conditions.await("a start at " + LEAVING, TIMEOUT, () -> {
            submitToBoth();
            return !cluster.records().startsAfter(LEAVING, begun).isEmpty();
        });
    }

    private void keepSubmittingUntil(Instant end) {
        while (Instant.now().isBefore(end)) {
            submitToBoth();
        }
    }

    private void submitToBoth() {
        jobs++;
        Submission job = new Submission("lab", "leaving-" + jobs, "assay", 16, 20, 3_000);
        Endpoint running = cluster.entry(1).http();
        cluster.client().submitJob(cluster.entry(0).http(), job.withKey(job.key() + "-at-0"));
        cluster.client().submitJob(running, job).join();
    }
}
