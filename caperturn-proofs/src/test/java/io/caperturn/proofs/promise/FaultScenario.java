package io.caperturn.proofs.promise;

import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.ClientSubmission;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.TestClient;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Scenario in which clients submit work before, during and after faults.
 *
 * <p>Work is started at both entry processes and the faults are injected. While they last, the work of the first entry
 * is resubmitted at the other one and new work is submitted. After the faults are healed, work is resubmitted again.
 */
final class FaultScenario {
    static final int DEADLINE_MILLISECONDS = 8_000;

    private static final int TASKS_PER_JOB = 60;
    /** Run time of each task, except those of {@link #jobResubmittedWithHeader}. */
    private static final int RUN_MILLISECONDS = 100;
    /** Number of tasks of {@link #jobResubmittedWithHeader}. */
    private static final int HEADER_JOB_TASKS = 4;
    /** Run time of each task of {@link #jobResubmittedWithHeader}. */
    private static final int HEADER_JOB_RUN_MILLISECONDS = 800;

    private static final int REQUESTS_PER_TYPE = 4;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

    private final ClusterFixture cluster;
    private final List<Fault> faults;
    private final String name;
    private TestClient client = new TestClient();
    private final List<CompletableFuture<ClientExchange>> exchanges = new ArrayList<>();

    FaultScenario(ClusterFixture cluster, List<Fault> faults) {
        this.cluster = cluster;
        this.faults = List.copyOf(faults);
        this.name = faults.stream().map(Fault::name).collect(Collectors.joining("-and-"));
    }

    FaultOutcome run() throws IOException {
        FaultInjection injection = new FaultInjection(cluster);
        sendBeforeFault();
        awaitStart(jobResubmittedWithHeader());
        awaitStart(jobResubmittedWithoutHeader());
        faults.forEach(injection::inject);
        List<CompletableFuture<ClientExchange>> duringFault = sendDuringFault();
        CompletableFuture.allOf(duringFault.toArray(CompletableFuture[]::new)).join();
        awaitResponsesIfSidecarIsPaused();
        for (Fault fault : faults) {
            injection.heal(fault);
        }
        // The faults can permanently mute the connections of the previous client.
        TestClient previousClient = client;
        client = new TestClient();
        sendAfterFault();
        List<ClientExchange> finished =
                exchanges.stream().map(CompletableFuture::join).toList();
        boolean recovered = awaitRecovery();
        awaitIdleUpstreams();
        previousClient.close();
        client.close();
        return new FaultOutcome(finished, cluster.executionRecord(), recovered);
    }

    private ClientSubmission jobResubmittedWithoutHeader() {
        return new ClientSubmission(
                "lab", "job-" + name, "assay", TASKS_PER_JOB, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    /** Returns a job that is resubmitted with the header {@code Caperturn-Resubmission}. */
    private ClientSubmission jobResubmittedWithHeader() {
        return new ClientSubmission(
                "lab",
                "declared-" + name,
                "assay",
                HEADER_JOB_TASKS,
                HEADER_JOB_RUN_MILLISECONDS,
                DEADLINE_MILLISECONDS);
    }

    /** Returns a job of a second team, {@code customs}. */
    private ClientSubmission jobOfSecondTeam(String key) {
        return new ClientSubmission(
                "customs", key + "-" + name, "assay", TASKS_PER_JOB / 2, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    private ClientSubmission request(String key, int index) {
        String uniqueKey = key + "-" + index + "-" + name;
        return new ClientSubmission("lab", uniqueKey, "cube-strength", 1, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    private void sendBeforeFault() {
        send(ClientExchange.RequestType.JOB, jobResubmittedWithHeader(), 0, ClientExchange.Stage.BEFORE_FAULT);
        send(ClientExchange.RequestType.JOB, jobResubmittedWithoutHeader(), 0, ClientExchange.Stage.BEFORE_FAULT);
        send(ClientExchange.RequestType.JOB, jobOfSecondTeam("job"), 1, ClientExchange.Stage.BEFORE_FAULT);
        for (int index = 0; index < REQUESTS_PER_TYPE; index++) {
            send(
                    ClientExchange.RequestType.NON_IDEMPOTENT,
                    request("certificate", index),
                    0,
                    ClientExchange.Stage.BEFORE_FAULT);
            send(ClientExchange.RequestType.IDEMPOTENT, request("check", index), 0, ClientExchange.Stage.BEFORE_FAULT);
        }
    }

    private List<CompletableFuture<ClientExchange>> sendDuringFault() {
        List<CompletableFuture<ClientExchange>> sent = new ArrayList<>();
        sent.add(send(
                ClientExchange.RequestType.JOB, jobResubmittedWithoutHeader(), 1, ClientExchange.Stage.DURING_FAULT));
        sent.add(send(
                ClientExchange.RequestType.DECLARED_RESUBMISSION,
                jobResubmittedWithHeader(),
                1,
                ClientExchange.Stage.DURING_FAULT));
        sent.add(send(ClientExchange.RequestType.JOB, jobOfSecondTeam("fresh"), 1, ClientExchange.Stage.DURING_FAULT));
        for (int index = 0; index < REQUESTS_PER_TYPE; index++) {
            sent.add(send(
                    ClientExchange.RequestType.NON_IDEMPOTENT,
                    request("certificate", index),
                    1,
                    ClientExchange.Stage.DURING_FAULT));
            sent.add(send(
                    ClientExchange.RequestType.NON_IDEMPOTENT,
                    request("fresh-certificate", index),
                    1,
                    ClientExchange.Stage.DURING_FAULT));
            sent.add(send(
                    ClientExchange.RequestType.IDEMPOTENT,
                    request("fresh-check", index),
                    1,
                    ClientExchange.Stage.DURING_FAULT));
        }
        if (faults.stream().noneMatch(Fault::cutsClientOff)) {
            sent.add(send(
                    ClientExchange.RequestType.JOB,
                    jobOfSecondTeam("fresh-at-0"),
                    0,
                    ClientExchange.Stage.DURING_FAULT));
        }
        return sent;
    }

    private void sendAfterFault() {
        send(ClientExchange.RequestType.JOB, jobResubmittedWithoutHeader(), 0, ClientExchange.Stage.AFTER_FAULT);
        send(ClientExchange.RequestType.JOB, jobResubmittedWithoutHeader(), 1, ClientExchange.Stage.AFTER_FAULT);
        send(ClientExchange.RequestType.JOB, jobOfSecondTeam("late"), 0, ClientExchange.Stage.AFTER_FAULT);
        for (int index = 0; index < REQUESTS_PER_TYPE; index++) {
            send(
                    ClientExchange.RequestType.NON_IDEMPOTENT,
                    request("certificate", index),
                    0,
                    ClientExchange.Stage.AFTER_FAULT);
        }
    }

    private void awaitStart(ClientSubmission submission) {
        Conditions.await(
                "a start of " + submission.identity(),
                START_TIMEOUT,
                () -> !cluster.executionRecord()
                        .countStartsPerTask(submission.identity())
                        .isEmpty());
    }

    private void awaitResponsesIfSidecarIsPaused() {
        if (faults.contains(Fault.SIDECAR_PAUSED)) {
            exchanges.forEach(CompletableFuture::join);
        }
    }

    private CompletableFuture<ClientExchange> send(
            ClientExchange.RequestType type, ClientSubmission submission, int entryIndex, ClientExchange.Stage stage) {
        HostAndPort address = cluster.entry(entryIndex).httpRelay().address();
        CompletableFuture<ClientResponse> response = switch (type) {
            case JOB -> client.submitJob(address, submission);
            case DECLARED_RESUBMISSION -> client.resubmitJob(address, submission);
            case NON_IDEMPOTENT -> client.submitRequest(address, submission, false);
            case IDEMPOTENT -> client.submitRequest(address, submission, true);
        };
        CompletableFuture<ClientExchange> exchange = response.thenApply(
                received -> new ClientExchange(type, submission, entryIndex, stage, received, Instant.now()));
        exchanges.add(exchange);
        return exchange;
    }

    /** Returns whether both entries completed a small probe job in time. */
    private boolean awaitRecovery() {
        long deadlineNanoseconds = System.nanoTime() + RECOVERY_TIMEOUT.toNanos();
        int probeNumber = 0;
        while (System.nanoTime() < deadlineNanoseconds) {
            probeNumber++;
            if (completesProbeJob(0, probeNumber) && completesProbeJob(1, probeNumber)) {
                return true;
            }
        }
        return false;
    }

    private boolean completesProbeJob(int entryIndex, int probeNumber) {
        String key = "probe-" + probeNumber + "-at-" + entryIndex + "-" + name;
        // 12 tasks without run time, 3 s deadline.
        ClientSubmission job = new ClientSubmission("probe", key, "assay", 12, 0, 3_000);
        return client.submitJob(cluster.entry(entryIndex).httpRelay().address(), job)
                .join()
                .isSuccessful();
    }

    private void awaitIdleUpstreams() {
        for (int index = 0; index < cluster.sidecarCount(); index++) {
            HostAndPort upstream = cluster.sidecar(index).upstream().address("http");
            Conditions.await(
                    "no running task at " + upstream,
                    IDLE_TIMEOUT,
                    () -> cluster.client()
                                    .exchange("GET", upstream, "/control", Map.of(), null)
                                    .body()
                                    .path("running")
                                    .asInt()
                            == 0);
        }
    }
}
