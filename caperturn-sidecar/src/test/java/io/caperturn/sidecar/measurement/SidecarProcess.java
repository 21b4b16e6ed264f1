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
import java.util.concurrent.CountDownLatch;

/** A sidecar as a process of its own, with what the operating system says of its cost. */
final class SidecarProcess implements AutoCloseable {
    private static final String ADDRESS_MARK = "announce-address=";
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final int TICKS_PER_SECOND = 100;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Process process;
    private final String announceAddress;

    /** Starts a sidecar of the given name that opens links to the given addresses. */
    SidecarProcess(String name, List<String> entries) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                SidecarProcess.class.getName(),
                name));
        command.addAll(entries);
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
        String line = output.readLine();
        while (line != null && !line.startsWith(ADDRESS_MARK)) {
            line = output.readLine();
        }
        if (line == null) {
            throw new IOException("sidecar did not start");
        }
        announceAddress = line.substring(ADDRESS_MARK.length());
    }

    /** Runs the sidecar; the first argument is its name, the others are addresses of entries. */
    public static void main(String[] arguments) throws Exception {
        List<String> seeds = Arrays.asList(arguments).subList(1, arguments.length);
        SidecarDaemon daemon = SidecarDaemon.start(
                new SidecarSettings(arguments[0], "zone-a", "127.0.0.1:0", seeds, null, null, null, 0));
        System.out.println(ADDRESS_MARK + daemon.announceAddress());
        new CountDownLatch(1).await();
    }

    String announceAddress() {
        return announceAddress;
    }

    /** Announces an upstream through an address that leads to the sidecar. */
    void announce(String through, String upstreamAddress) throws IOException, InterruptedException {
        String body = """
                {"name":"upstream-1","kinds":["assay"],"slots":8,"connections":64,"worker":"worker-1","rack":"rack-1",\
                "availabilityZone":"zone-a","address":"%s","state":"serving"}""".formatted(upstreamAddress);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + through + "/v1/announcements"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        http.send(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Returns the processor time used so far, user and system, in seconds. */
    double processorSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        return (double) ticks / TICKS_PER_SECOND;
    }

    /** Returns the resident memory in kilobytes. */
    long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() {
        process.destroy();
        http.close();
    }
}
