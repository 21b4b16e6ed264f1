package io.caperturn.fleet.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Deployment on the loopback interface: stand-ins of the store and of executors, and real entry and sidecar processes.
 *
 * <p>An executor is a process that runs tasks, an upstream in the main code. An entry is a process that accepts
 * submissions; a sidecar runs beside each executor. The names and units of the settings are the platform's.
 */
final class StandInDeployment implements AutoCloseable {
    /** Host of the queue. */
    static final String HOST = "jobs.example";

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final StandInStore store = new StandInStore();
    private final RunRecord runs = new RunRecord();
    private final List<StandInExecutor> executors = new ArrayList<>();
    /** Command lines of the processes by node, the name of a process, which is also the key of the other maps. */
    private final Map<String, List<String>> commands = new HashMap<>();

    private final Map<String, Path> settingsFiles = new HashMap<>();
    private final Map<String, String> callerAddresses = new HashMap<>();
    private final Map<String, Integer> linkPorts = new HashMap<>();
    private final Map<String, String> metricsAddresses = new HashMap<>();
    private final Map<String, String> announcementAddresses = new HashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    /**
     * Sockets that reserve the ports of each process until its first start; without them, the operating system could
     * assign the same port to another listener of this deployment.
     */
    private final Map<String, List<ServerSocket>> reservedPorts = new HashMap<>();

    private final Path folder;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    StandInDeployment(Path folder) throws IOException {
        this.folder = folder;
        configureQueue(/* version= */ 1);
    }

    /** Writes a configuration with the queue of this deployment. */
    void configureQueue(int version) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "queue");
        route.put("host", HOST);
        route.put("pathPrefix", "/jobs/");
        route.put("service", "work");
        route.put("priority", 0);
        route.put("maxAttempts", 2);
        // The objective for the duration of a job is this factor times its estimated duration,
        route.put("stretch", 1.6);
        // plus these milliseconds.
        route.put("targetDurationMs", 20_000);
        store.configure(Map.of("version", version, "routes", List.of(route), "limits", Map.of()));
    }

    // The HTTP client sets the Host header of a request only if this property allows it.
    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    StandInStore store() {
        return store;
    }

    /** Returns the record of the runs of all executors. */
    RunRecord runs() {
        return runs;
    }

    /** Returns the port of an entry for callers. */
    int callerPort(String node) {
        String address = callerAddresses.get(node);
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /** Returns the port of a process for links from other processes. */
    int linkPort(String node) {
        return linkPorts.get(node);
    }

    /** Returns the executor of the sidecar that was added with this number, counted from 0. */
    StandInExecutor executor(int number) {
        return executors.get(number);
    }

    /** Returns the availability zone of a process; each has its own. */
    static String zoneOf(String node) {
        return "zone-of-" + node;
    }

    /** Returns the number of task starts at all executors. */
    int startCount() {
        return executors.stream()
                .flatMap(executor -> executor.startCounts().values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Adds an entry; {@code command} is its command line without the role, which is appended. */
    void addEntry(String node, List<String> command) throws IOException {
        String callerAddress = "127.0.0.1:" + reservePort(node);
        callerAddresses.put(node, callerAddress);
        // The addresses for requests of callers and for readiness probes.
        addProcess(
                node,
                command,
                "entry",
                Map.of("front", callerAddress, "ready", "127.0.0.1:" + reservePort(node)),
                /* executorAddress= */ null);
        int metricsPort = reservePort(node);
        commands.get(node).add(Integer.toString(metricsPort));
        metricsAddresses.put(node, "127.0.0.1:" + metricsPort);
    }

    /** Adds a sidecar and its executor; {@code command} is its command line without the role, which is appended. */
    void addSidecar(String node, List<String> command, long taskMilliseconds) throws IOException {
        String announcementAddress = "127.0.0.1:" + reservePort(node);
        announcementAddresses.put(node, announcementAddress);
        StandInExecutor executor = new StandInExecutor("i-" + node, announcementAddress, taskMilliseconds, runs);
        executors.add(executor);
        // The address for announcements of the executor.
        addProcess(node, command, "sidecar", Map.of("control", announcementAddress), executor.address());
    }

    private void addProcess(
            String node, List<String> command, String role, Map<String, Object> listen, String executorAddress)
            throws IOException {
        Map<String, Object> settingsContent = new LinkedHashMap<>();
        settingsContent.put("nodeName", node);
        settingsContent.put("zone", zoneOf(node));
        settingsContent.put("ip", "127.0.0.1");
        int port = reservePort(node);
        linkPorts.put(node, port);
        // A list, of which the process uses the first port.
        settingsContent.put("internalPorts", List.of(port, port));
        settingsContent.put("listen", listen);
        if (executorAddress != null) {
            settingsContent.put("app", executorAddress);
        }
        settingsContent.put("platform", Map.of("address", store.address()));
        // The maximum lease of a run in milliseconds, how long the final state of a job is kept in seconds, the time
        // from SIGTERM until the process is killed in seconds, and that within which a zone is evacuated in
        // milliseconds.
        settingsContent.put("bounds", Map.of("maxHoldMs", 1_000, "status_s", 120, "graceS", 6, "evacuateMs", 5_000));
        Path file = folder.resolve(node + ".json");
        Files.write(file, StandInHttpServer.write(settingsContent));
        settingsFiles.put(node, file);
        List<String> completeCommand = new ArrayList<>(command);
        completeCommand.add(role);
        commands.put(node, completeCommand);
    }

    private int reservePort(String node) throws IOException {
        ServerSocket socket = new ServerSocket(/* port= */ 0, /* backlog= */ 1, InetAddress.getLoopbackAddress());
        reservedPorts.computeIfAbsent(node, key -> new ArrayList<>()).add(socket);
        return socket.getLocalPort();
    }

    private void releasePorts(String node) throws IOException {
        List<ServerSocket> sockets = reservedPorts.remove(node);
        if (sockets != null) {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Starts a process, or starts it again after it has exited; its output is appended to its log. */
    void start(String node) throws IOException {
        releasePorts(node);
        ProcessBuilder builder = new ProcessBuilder(commands.get(node));
        builder.environment().put("CAPERTURN_CONFIG", settingsFiles.get(node).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        processes.put(node, builder.start());
    }

    Process process(String node) {
        return processes.get(node);
    }

    String log(String node) throws IOException {
        return Files.readString(folder.resolve(node + ".log"));
    }

    /** Waits until the logs of all processes contain a text. */
    void awaitLogged(String text) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        for (String node : processes.keySet()) {
            while (!log(node).contains(text)) {
                if (System.nanoTime() > deadline) {
                    throw new IllegalStateException(node + " did not log " + text);
                }
                Thread.sleep(20);
            }
        }
    }

    /** Waits up to 10 s until the log of a process contains a text; returns whether it does. */
    boolean awaitLog(String node, String text) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!log(node).contains(text) && System.nanoTime() < deadline) {
            Thread.sleep(50);
        }
        return log(node).contains(text);
    }

    /** Waits until an entry answers a job that this method submits to it. */
    void awaitReady(String node) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        int attempt = 0;
        while (System.nanoTime() < deadline) {
            // Each attempt submits a new job; its number is above those of the jobs that tests submit.
            String identity = String.format("%016x", 0xf00000L + attempt++);
            try {
                if (post(node, identity, /* tasks= */ 1, /* stored= */ false)
                                .get(5, TimeUnit.SECONDS)
                                .statusCode()
                        == 200) {
                    return;
                }
            } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
                // The entry is not ready yet; the job is submitted again.
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("entry is not ready: " + node);
    }

    /** Submits a job of equal tasks, either as a {@code stored} job or as best effort. */
    CompletableFuture<HttpResponse<String>> post(String node, String identity, int tasks, boolean stored) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", "text");
        body.put("steps", List.of(Map.of("count", tasks, "cpu", 1_600, "memMb", 64, "estimatedMs", 100)));
        if (!stored) {
            body.put("bestEffort", true);
        }
        return client.sendAsync(
                request(node, identity)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(StandInHttpServer.write(body)))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String node, String identity) throws IOException, InterruptedException {
        return client.send(request(node, identity).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> delete(String node, String identity) throws IOException, InterruptedException {
        return client.send(request(node, identity).DELETE().build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Asks an entry at its metrics address where the tasks of a job would go. */
    HttpResponse<String> explainPlacement(String node, String body) throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + metricsAddresses.get(node) + "/placement"))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a heartbeat to a sidecar as another writer does; returns the status of the response. */
    int announce(String node, String identity, String body) throws IOException, InterruptedException {
        return client.send(
                        HttpRequest.newBuilder(URI.create(
                                        "http://" + announcementAddresses.get(node) + "/instances/" + identity))
                                .timeout(TIMEOUT)
                                .PUT(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private HttpRequest.Builder request(String node, String identity) {
        return HttpRequest.newBuilder(URI.create("http://" + callerAddresses.get(node) + "/jobs/" + identity))
                .header("Host", HOST)
                .timeout(TIMEOUT);
    }

    /** Waits up to 20 s until an entry reports the wanted state of a job; returns the body of its last response. */
    String awaitState(String node, String identity, String wantedState) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        String lastBody = "";
        while (System.nanoTime() < deadline && !lastBody.contains(wantedState)) {
            lastBody = get(node, identity).body();
            Thread.sleep(20);
        }
        return lastBody;
    }

    /** Terminates all processes gracefully, and kills those that have not exited after 15 s. */
    void stopAll() throws InterruptedException {
        processes.values().forEach(Process::destroy);
        for (Process process : processes.values()) {
            if (!process.waitFor(15, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        processes.values().forEach(process -> process.destroyForcibly().onExit().join());
        executors.forEach(StandInExecutor::close);
        store.close();
        try {
            for (String node : List.copyOf(reservedPorts.keySet())) {
                releasePorts(node);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
