package io.caperturn.sidecar.measurement;

import io.caperturn.settings.SidecarSettings;
import io.caperturn.sidecar.SidecarDaemon;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** A sidecar in a process of its own, whose resource use is read from the {@code /proc} file system. */
final class SidecarProcess implements AutoCloseable {
    private static final String ADDRESS_PREFIX = "announce-address=";
    private static final String HEAP_PREFIX = "live-heap-bytes=";
    private static final String JAVA_OPTIONS_PROPERTY = "caperturn.measurement.javaOptions";
    private static final String DEFAULT_JAVA_OPTIONS = "-XX:+UseSerialGC -Xmx64m";
    /** Index of the user time in {@code /proc/PID/stat}, counted from the field after the command name. */
    private static final int USER_TICKS_FIELD = 11;
    /** Index of the system time, counted likewise. */
    private static final int SYSTEM_TICKS_FIELD = 12;

    private static final int TICKS_PER_SECOND = 100;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Process process;
    private final BufferedReader output;
    private final String announceAddress;

    /** Starts a sidecar with a name and the link addresses of its entry processes. */
    SidecarProcess(String name, List<String> entryAddresses) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(
                System.getProperty(JAVA_OPTIONS_PROPERTY, DEFAULT_JAVA_OPTIONS).split(" ")));
        command.addAll(List.of(SidecarProcess.class.getName(), name));
        command.addAll(entryAddresses);
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        output = new BufferedReader(new InputStreamReader(process.getInputStream()));
        announceAddress = awaitLine(ADDRESS_PREFIX);
    }

    /** Runs the sidecar. The first argument is its name; the others are addresses of entries. */
    public static void main(String[] arguments) throws Exception {
        List<String> seeds = Arrays.asList(arguments).subList(1, arguments.length);
        // Null and 0 stand for defaults.
        SidecarDaemon daemon = SidecarDaemon.start(
                new SidecarSettings(arguments[0], "zone-a", "127.0.0.1:0", seeds, null, null, null, 0));
        System.out.println(ADDRESS_PREFIX + daemon.announceAddress());
        while (System.in.read() >= 0) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            System.out.println(HEAP_PREFIX + (runtime.totalMemory() - runtime.freeMemory()));
        }
    }

    String announceAddress() {
        return announceAddress;
    }

    /** Sends an announcement of an upstream to the sidecar, or to a proxy in front of it. */
    void announce(String destinationAddress, String upstreamAddress) throws IOException, InterruptedException {
        String body = """
                {"name":"upstream-1","kinds":["assay"],"slots":8,"connections":64,"worker":"worker-1","rack":"rack-1",\
                "availabilityZone":"zone-a","address":"%s","state":"serving"}""".formatted(upstreamAddress);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + destinationAddress + "/v1/announcements"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        http.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Returns the processor time used so far, user and system, in seconds. */
    double processorSeconds() throws IOException {
        return parseProcessorSeconds(Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat")));
    }

    private static double parseProcessorSeconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return (double) ticks / TICKS_PER_SECOND;
    }

    /** Returns the processor time used so far by the threads of each name, in seconds. */
    Map<String, Double> processorSecondsOfThreads() throws IOException {
        Map<String, Double> seconds = new TreeMap<>();
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                String name = Files.readString(thread.resolve("comm")).strip();
                seconds.merge(name, parseProcessorSeconds(Files.readString(thread.resolve("stat"))), Double::sum);
            }
        }
        return seconds;
    }

    /** Runs the garbage collector in the sidecar and returns the heap in use afterwards, in bytes. */
    long liveHeapBytes() throws IOException {
        process.getOutputStream().write('\n');
        process.getOutputStream().flush();
        return Long.parseLong(awaitLine(HEAP_PREFIX));
    }

    /** Returns the resident memory of the process in kilobytes. */
    long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    private String awaitLine(String prefix) throws IOException {
        String line = output.readLine();
        while (line != null && !line.startsWith(prefix)) {
            line = output.readLine();
        }
        if (line == null) {
            throw new IOException("sidecar process closed its output before the expected line");
        }
        return line.substring(prefix.length());
    }

    @Override
    public void close() {
        process.destroy();
        http.close();
    }
}
