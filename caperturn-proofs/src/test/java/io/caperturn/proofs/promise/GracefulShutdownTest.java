package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.ClientSubmission;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.RunningProcess;
import io.caperturn.testkit.relay.RelayMode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a shutdown by SIGTERM completes the requests in progress. */
@Tag("process")
class GracefulShutdownTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int DEADLINE_MILLISECONDS = 10_000;

    private static ClusterFixture cluster;

    /** Processes that receive SIGTERM while work is in progress, and the fault meanwhile. */
    enum ShutdownCase {
        ENTRY,
        SIDECAR,
        ENTRY_AND_SIDECAR,
        ENTRY_WHILE_LINKS_ARE_CUT,
        SIDECAR_WHILE_LINKS_ARE_CUT;

        boolean stopsEntry() {
            return this == ENTRY || this == ENTRY_AND_SIDECAR || this == ENTRY_WHILE_LINKS_ARE_CUT;
        }

        boolean stopsSidecar() {
            return this == SIDECAR || this == ENTRY_AND_SIDECAR || this == SIDECAR_WHILE_LINKS_ARE_CUT;
        }

        boolean cutsLinks() {
            return this == ENTRY_WHILE_LINKS_ARE_CUT || this == SIDECAR_WHILE_LINKS_ARE_CUT;
        }
    }

    @BeforeAll
    static void start() throws IOException {
        cluster = ClusterFixture.start(
                "shutdown",
                new ClusterOptions(
                        2, 2, 4, List.of("assay"), FaultOutcomes.FAST_LINK_SETTINGS, FaultOutcomes.FAST_LINK_SETTINGS));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @EnumSource
    void shutdownCompletesRequestsInProgress(ShutdownCase shutdown) throws IOException {
        List<CompletableFuture<ClientResponse>> inProgress = submit(shutdown);
        awaitStarts(shutdown);
        List<RunningProcess> stopped = terminate(shutdown);
        CompletableFuture<ClientResponse> late =
                cluster.client().submitJob(cluster.entry(0).httpAddress(), job(shutdown, "late"));
        List<ClientResponse> responses =
                inProgress.stream().map(CompletableFuture::join).toList();
        stopped.forEach(process -> process.awaitExit(TIMEOUT));
        ClientResponse lateResponse = late.join();
        restart(shutdown);
        responses.forEach(response -> assertTrue(response.isComplete(), response::toString));
        assertEquals(Map.of(), cluster.executionRecord().countRepeatedStarts());
        assertRefusedWorkDidNotStart(shutdown, lateResponse);
    }

    private void assertRefusedWorkDidNotStart(ShutdownCase shutdown, ClientResponse response) {
        int starts = cluster.executionRecord()
                .countStartsPerTask(job(shutdown, "late").identity())
                .size();
        if (response.isReceived() && !response.isComplete()) {
            assertEquals("attempt-not-run", response.execution(), response::toString);
        }
        assertTrue(response.isComplete() || starts == 0, () -> starts + " starts despite the refusal " + response);
    }

    private List<CompletableFuture<ClientResponse>> submit(ShutdownCase shutdown) {
        List<CompletableFuture<ClientResponse>> sent = new ArrayList<>();
        for (int entry = 0; entry < 2; entry++) {
            sent.add(cluster.client().submitJob(cluster.entry(entry).httpAddress(), job(shutdown, "job-" + entry)));
            sent.add(cluster.client()
                    .submitRequest(cluster.entry(entry).httpAddress(), request(shutdown, "a" + entry), false));
            sent.add(cluster.client()
                    .submitRequest(cluster.entry(entry).httpAddress(), request(shutdown, "b" + entry), true));
        }
        return sent;
    }

    private void awaitStarts(ShutdownCase shutdown) {
        for (int entry = 0; entry < 2; entry++) {
            String identity = job(shutdown, "job-" + entry).identity();
            Conditions.await(
                    "a start of " + identity,
                    TIMEOUT,
                    () -> !cluster.executionRecord()
                            .countStartsPerTask(identity)
                            .isEmpty());
        }
    }

    private List<RunningProcess> terminate(ShutdownCase shutdown) {
        List<RunningProcess> stopped = new ArrayList<>();
        if (shutdown.stopsEntry()) {
            stopped.add(cluster.entry(0).process());
        }
        if (shutdown.stopsSidecar()) {
            stopped.add(cluster.sidecar(0).process());
        }
        stopped.forEach(RunningProcess::terminate);
        if (shutdown.cutsLinks()) {
            cluster.entry(0).linkRelay().setMode(RelayMode.CUT);
        }
        return stopped;
    }

    private void restart(ShutdownCase shutdown) throws IOException {
        cluster.entry(0).linkRelay().setMode(RelayMode.PASS);
        if (shutdown.stopsEntry()) {
            cluster.restartEntry(0);
        }
        if (shutdown.stopsSidecar()) {
            cluster.restartSidecar(0);
        }
    }

    private static ClientSubmission job(ShutdownCase shutdown, String key) {
        return new ClientSubmission("lab", key + "-" + shutdown, "assay", 40, 100, DEADLINE_MILLISECONDS);
    }

    private static ClientSubmission request(ShutdownCase shutdown, String key) {
        return new ClientSubmission("lab", key + "-" + shutdown, "assay", 1, 500, DEADLINE_MILLISECONDS);
    }
}
