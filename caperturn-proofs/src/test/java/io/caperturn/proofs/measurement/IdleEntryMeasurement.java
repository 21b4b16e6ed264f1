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
 * Measures the CPU time, traffic and memory of an idle entry process for several numbers of connected sidecar
 * processes. Also measures the time until an edit of the operators' table is in force at all of these.
 *
 * <p>CPU time and bytes come from the operating system's counters of the entry process. The bytes include the log of
 * the process and its polling of the store. Not part of the test run; {@code bin/build -o test -pl caperturn-proofs -am
 * -Dtest=IdleEntryMeasurement -Dsurefire.failIfNoSpecifiedTests=false} prints a line for each number of sidecars.
 */
class IdleEntryMeasurement {
    private static final int[] SIDECAR_COUNTS = {1, 10, 50, 100};
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration MEASUREMENT = Duration.ofSeconds(20);
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(11);
    private static final int EDITS = 5;
    private static final int TASK_TIMEOUT_MILLISECONDS = 10_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    /** 1 entry, 1 sidecar, 8 slots per upstream. */
    private static final ClusterOptions CLUSTER_OPTIONS =
            new ClusterOptions(1, 1, 8, List.of("assay"), Map.of(), Map.of());

    @Test
    void measureBySidecarCount() throws IOException, InterruptedException {
        System.out.println(
                "peers cpuPercent bytesPerSecond residentMegabytes editInForceMilliseconds(each of " + EDITS + ")");
        for (int sidecarCount : SIDECAR_COUNTS) {
            try (ClusterFixture cluster = ClusterFixture.start("idle-entry-" + sidecarCount, CLUSTER_OPTIONS)) {
                measure(cluster, sidecarCount);
            }
        }
    }

    private static void measure(ClusterFixture cluster, int sidecarCount) throws IOException, InterruptedException {
        List<IdleSidecar> sidecars = new ArrayList<>();
        try {
            String address = cluster.entry(0).process().address("link").toString();
            for (int number = 0; number < sidecarCount; number++) {
                sidecars.add(new IdleSidecar(number, address));
            }
            Conditions.await(
                    "all sidecars linked",
                    IN_FORCE_TIMEOUT,
                    () -> sidecars.stream().allMatch(sidecar -> sidecar.tableVersion() > 0));
            Thread.sleep(WARM_UP.toMillis());
            long processId = cluster.entry(0).process().id();
            long cpuNanosecondsBefore = cpuNanoseconds(processId);
            long bytesBefore = readAndWrittenBytes(processId);
            Thread.sleep(MEASUREMENT.toMillis());
            double seconds = MEASUREMENT.toNanos() / NANOSECONDS_PER_SECOND;
            double cpuPercent =
                    100 * (cpuNanoseconds(processId) - cpuNanosecondsBefore) / NANOSECONDS_PER_SECOND / seconds;
            double bytesPerSecond = (readAndWrittenBytes(processId) - bytesBefore) / seconds;
            System.out.printf(
                    "%d %.2f %.0f %d %s%n",
                    sidecarCount,
                    cpuPercent,
                    bytesPerSecond,
                    residentMegabytes(processId),
                    measureEditMilliseconds(cluster, sidecars));
        } finally {
            sidecars.forEach(IdleSidecar::close);
        }
    }

    /** Returns the time until each edit is in force. */
    private static List<Long> measureEditMilliseconds(ClusterFixture cluster, List<IdleSidecar> sidecars) {
        List<Long> milliseconds = new ArrayList<>();
        for (int edit = 0; edit < EDITS; edit++) {
            long startNanoseconds = System.nanoTime();
            long acceptedVersion = sendEdit(cluster, edit);
            Conditions.await(
                    "edit in force at all sidecars",
                    IN_FORCE_TIMEOUT,
                    () -> sidecars.stream().allMatch(sidecar -> sidecar.tableVersion() >= acceptedVersion));
            milliseconds.add(Math.round((System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MILLISECOND));
        }
        return milliseconds;
    }

    /** Returns the version of the edited table. */
    private static long sendEdit(ClusterFixture cluster, int number) {
        var entryAddress = cluster.entry(0).httpAddress();
        String path = "/v1/table/kinds/assay";
        long rowVersion = cluster.client()
                .exchange("GET", entryAddress, path, Map.of(), null)
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
                .exchange("PUT", entryAddress, path, headers, row)
                .body()
                .path("version")
                .asLong();
    }

    private static long cpuNanoseconds(long processId) {
        return ProcessHandle.of(processId)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .map(Duration::toNanos)
                .orElse(0L);
    }

    private static long readAndWrittenBytes(long processId) throws IOException {
        return readProcField(processId, "io", "rchar:") + readProcField(processId, "io", "wchar:");
    }

    private static long residentMegabytes(long processId) throws IOException {
        return readProcField(processId, "status", "VmRSS:") / 1024;
    }

    private static long readProcField(long processId, String file, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc", String.valueOf(processId), file)).stream()
                .filter(line -> line.startsWith(name))
                .map(line -> line.substring(name.length()).replace("kB", "").trim())
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElseThrow();
    }
}
