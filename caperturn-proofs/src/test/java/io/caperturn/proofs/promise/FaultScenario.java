package io.caperturn.proofs.promise;

import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.process.ClientAnswer;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.EntryClient;
import io.caperturn.testkit.process.Submission;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Course of events around faults: work in progress, the faults, resubmissions at the other entry and new work while
 * they last, the end of the faults, and resubmissions after it.
 */
final class FaultScenario {
    static final int DEADLINE_MILLISECONDS = 8_000;

    private static final int TASKS = 60;
    private static final int RUN_MILLISECONDS = 100;
    private static final int DECLARED_TASKS = 4;
    private static final int DECLARED_RUN_MILLISECONDS = 800;
    private static final int REQUESTS = 4;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration QUIET_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);

    private final ClusterFixture cluster;
    private final List<Fault> faults;
    private final String name;
    private EntryClient client = new EntryClient();
    private final List<CompletableFuture<Exchange>> exchanges = new ArrayList<>();

    FaultScenario(ClusterFixture cluster, List<Fault> faults) {
        this.cluster = cluster;
        this.faults = List.copyOf(faults);
        this.name = faults.stream().map(Fault::name).collect(Collectors.joining("-and-"));
    }

    FaultOutcome run() throws IOException {
        FaultInjection injection = new FaultInjection(cluster);
        sendFirst();
        awaitStart(declaredJob());
        awaitStart(job());
        faults.forEach(injection::inject);
        List<CompletableFuture<Exchange>> duringFault = sendDuringFault();
        CompletableFuture.allOf(duringFault.toArray(CompletableFuture[]::new)).join();
        awaitEndsAtPausedSidecar();
        for (Fault fault : faults) {
            injection.heal(fault);
        }
        EntryClient clientBefore = client;
        client = new EntryClient();
        sendAfterFault();
        List<Exchange> ended = exchanges.stream().map(CompletableFuture::join).toList();
        boolean recovered = isRecovered();
        awaitQuiet();
        clientBefore.close();
        client.close();
        return new FaultOutcome(ended, cluster.records(), recovered);
    }

    private Submission job() {
        return new Submission("lab", "job-" + name, "assay", TASKS, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    /** A job whose resubmission the client declares; that of {@link #job} it does not. */
    private Submission declaredJob() {
        return new Submission(
                "lab", "declared-" + name, "assay", DECLARED_TASKS, DECLARED_RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    private Submission other(String key) {
        return new Submission("customs", key + "-" + name, "assay", TASKS / 2, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    private Submission request(String key, int index) {
        String full = key + "-" + index + "-" + name;
        return new Submission("lab", full, "cube-strength", 1, RUN_MILLISECONDS, DEADLINE_MILLISECONDS);
    }

    private void sendFirst() {
        send(Exchange.Sort.JOB, declaredJob(), 0, Exchange.Stage.BEFORE_FAULT);
        send(Exchange.Sort.JOB, job(), 0, Exchange.Stage.BEFORE_FAULT);
        send(Exchange.Sort.JOB, other("job"), 1, Exchange.Stage.BEFORE_FAULT);
        for (int index = 0; index < REQUESTS; index++) {
            send(Exchange.Sort.NON_IDEMPOTENT, request("certificate", index), 0, Exchange.Stage.BEFORE_FAULT);
            send(Exchange.Sort.IDEMPOTENT, request("check", index), 0, Exchange.Stage.BEFORE_FAULT);
        }
    }

    private List<CompletableFuture<Exchange>> sendDuringFault() {
        List<CompletableFuture<Exchange>> sent = new ArrayList<>();
        sent.add(send(Exchange.Sort.JOB, job(), 1, Exchange.Stage.DURING_FAULT));
        sent.add(send(Exchange.Sort.JOB_AGAIN, declaredJob(), 1, Exchange.Stage.DURING_FAULT));
        sent.add(send(Exchange.Sort.JOB, other("fresh"), 1, Exchange.Stage.DURING_FAULT));
        for (int index = 0; index < REQUESTS; index++) {
            sent.add(send(Exchange.Sort.NON_IDEMPOTENT, request("certificate", index), 1, Exchange.Stage.DURING_FAULT));
            sent.add(send(
                    Exchange.Sort.NON_IDEMPOTENT, request("fresh-certificate", index), 1, Exchange.Stage.DURING_FAULT));
            sent.add(send(Exchange.Sort.IDEMPOTENT, request("fresh-check", index), 1, Exchange.Stage.DURING_FAULT));
        }
        if (faults.stream().noneMatch(Fault::cutsClientOff)) {
            sent.add(send(Exchange.Sort.JOB, other("fresh-at-0"), 0, Exchange.Stage.DURING_FAULT));
        }
        return sent;
    }

    private void sendAfterFault() {
        send(Exchange.Sort.JOB, job(), 0, Exchange.Stage.AFTER_FAULT);
        send(Exchange.Sort.JOB, job(), 1, Exchange.Stage.AFTER_FAULT);
        send(Exchange.Sort.JOB, other("late"), 0, Exchange.Stage.AFTER_FAULT);
        for (int index = 0; index < REQUESTS; index++) {
            send(Exchange.Sort.NON_IDEMPOTENT, request("certificate", index), 0, Exchange.Stage.AFTER_FAULT);
        }
    }

    private void awaitStart(Submission submission) {
        Conditions.await(
                "a start of " + submission.identity(),
                START_TIMEOUT,
                () -> !cluster.records().startsPerTask(submission.identity()).isEmpty());
    }

    private void awaitEndsAtPausedSidecar() {
        if (faults.contains(Fault.SIDECAR_PAUSED)) {
            exchanges.forEach(CompletableFuture::join);
        }
    }

    private CompletableFuture<Exchange> send(
            Exchange.Sort sort, Submission submission, int entry, Exchange.Stage stage) {
        Endpoint address = cluster.entry(entry).toHttp().address();
        CompletableFuture<ClientAnswer> answer = switch (sort) {
            case JOB -> client.submitJob(address, submission);
            case JOB_AGAIN -> client.resubmitJob(address, submission);
            case NON_IDEMPOTENT -> client.submitRequest(address, submission, false);
            case IDEMPOTENT -> client.submitRequest(address, submission, true);
        };
        CompletableFuture<Exchange> exchange =
                answer.thenApply(got -> new Exchange(sort, submission, entry, stage, got, Instant.now()));
        exchanges.add(exchange);
        return exchange;
    }

    private boolean isRecovered() {
        long end = System.nanoTime() + RECOVERY_TIMEOUT.toNanos();
        int probe = 0;
        while (System.nanoTime() < end) {
            probe++;
            if (serves(0, probe) && serves(1, probe)) {
                return true;
            }
        }
        return false;
    }

    private boolean serves(int entry, int probe) {
        String key = "probe-" + probe + "-at-" + entry + "-" + name;
        Submission job = new Submission("probe", key, "assay", 12, 0, 3_000);
        return client.submitJob(cluster.entry(entry).toHttp().address(), job)
                .join()
                .isComplete();
    }

    private void awaitQuiet() {
        for (int index = 0; index < cluster.sidecarCount(); index++) {
            Endpoint upstream = cluster.sidecar(index).upstream().endpoint("http");
            Conditions.await(
                    "quiet at " + upstream,
                    QUIET_TIMEOUT,
                    () -> cluster.client()
                                    .exchange("GET", upstream, "/control", Map.of(), null)
                                    .body()
                                    .path("running")
                                    .asInt()
                            == 0);
        }
    }
}
