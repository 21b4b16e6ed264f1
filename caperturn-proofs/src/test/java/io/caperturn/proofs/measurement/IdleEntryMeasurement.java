package io.caperturn.proofs.measurement;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import io.caperturn.testkit.process.Conditions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Cost of an idle entry by the number of linked sidecars, and the time until an edit is in force at all of them.
 *
 * <p>Processor time and bytes come from the operating system's account of the entry's process; bytes include its log
 * and its polling of the store. Not run with the tests; {@code bin/build -o test -pl caperturn-proofs -am
 * -Dtest=IdleEntryMeasurement -Dsurefire.failIfNoSpecifiedTests=false} prints a line for each number.
 */
class IdleEntryMeasurement {
    private static final int[] PEERS = {1, 10, 50, 100};
    private static final Duration SETTLING = Duration.ofSeconds(5);
    private static final Duration MEASURED = Duration.ofSeconds(20);
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(11);
    private static final int EDITS = 5;
    private static final int TASK_TIMEOUT_MILLISECONDS = 10_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private static final ClusterOptions ONE_OF_EACH = new ClusterOptions(1, 1, 8, List.of("assay"), Map.of(), Map.of());

    @Test
    void measureByPeers() throws IOException, InterruptedException {
        System.out.println(
                "peers cpuPercent bytesPerSecond residentMegabytes editInForceMilliseconds(each of " + EDITS + ")");
        for (int peers : PEERS) {
            try (ClusterFixture cluster = ClusterFixture.start("idle-entry-" + peers, ONE_OF_EACH)) {
                measure(cluster, peers);
            }
        }
    }

    private static void measure(ClusterFixture cluster, int peers) throws IOException, InterruptedException {
        List<PeerSidecar> sidecars = new ArrayList<>();
        try {
            String address = cluster.entry(0).process().endpoint("link").toString();
            for (int number = 0; number < peers; number++) {
                sidecars.add(new PeerSidecar(number, address));
            }
            Conditions.await(
                    "all linked",
                    IN_FORCE_TIMEOUT,
                    () -> sidecars.stream().allMatch(sidecar -> sidecar.tableVersion() > 0));
            Thread.sleep(SETTLING.toMillis());
            long process = cluster.entry(0).process().id();
            long cpu = cpuNanoseconds(process);
            long bytes = bytes(process);
            Thread.sleep(MEASURED.toMillis());
            double seconds = MEASURED.toNanos() / NANOSECONDS_PER_SECOND;
            double cpuPercent = 100 * (cpuNanoseconds(process) - cpu) / NANOSECONDS_PER_SECOND / seconds;
            double bytesPerSecond = (bytes(process) - bytes) / seconds;
            System.out.printf(
                    "%d %.2f %.0f %d %s%n",
                    peers, cpuPercent, bytesPerSecond, residentMegabytes(process), edits(cluster, sidecars));
        } finally {
            sidecars.forEach(PeerSidecar::close);
        }
    }

    private static List<Long> edits(ClusterFixture cluster, List<PeerSidecar> sidecars) {
        List<Long> times = new ArrayList<>();
        for (int edit = 0; edit < EDITS; edit++) {
            long start = System.nanoTime();
            long accepted = edit(cluster, edit);
            Conditions.await(
                    "edit in force",
                    IN_FORCE_TIMEOUT,
                    () -> sidecars.stream().allMatch(sidecar -> sidecar.tableVersion() >= accepted));
            times.add(Math.round((System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND));
        }
        return times;
    }

    private static long edit(ClusterFixture cluster, int number) {
        var entry = cluster.entry(0).http();
        String path = "/v1/table/kinds/assay";
        long rowVersion = cluster.client()
                .exchange("GET", entry, path, Map.of(), null)
                .body()
                .path("rowVersion")
                .asLong();
        ObjectNode row = JsonNodeFactory.instance
                .objectNode()
                .put("kind", "assay")
                .put("weight", number + 2)
                .put("urgency", "NORMAL")
                .put("taskTimeoutMilliseconds", TASK_TIMEOUT_MILLISECONDS);
        row.putObject("limits");
        Map<String, String> headers =
                Map.of("If-Match", "\"" + rowVersion + "\"", "Caperturn-Change-Id", "measured-" + number);
        return cluster.client()
                .exchange("PUT", entry, path, headers, row)
                .body()
                .path("version")
                .asLong();
    }

    private static long cpuNanoseconds(long process) {
        return ProcessHandle.of(process)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .map(Duration::toNanos)
                .orElse(0L);
    }

    private static long bytes(long process) throws IOException {
        return field(process, "io", "rchar:") + field(process, "io", "wchar:");
    }

    private static long residentMegabytes(long process) throws IOException {
        return field(process, "status", "VmRSS:") / 1024;
    }

    private static long field(long process, String file, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(process), file)).stream()
                .filter(line -> line.startsWith(name))
                .map(line -> line.substring(name.length()).replace("kB", "").trim())
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElseThrow();
    }
}
