package io.caperturn.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Small deployment on loopback addresses: the project's entries and sidecars as separate processes, started with the
 * commands of the deploy file, and stand-ins of the store and of the executors in this process. Each machine has an
 * address of its own; the ports are free ones, but for that of the metrics, which the commands name.
 */
final class Deployment implements AutoCloseable {
    static final String SERVICE = "work";
    static final String HOST = "jobs.example";
    static final String PREFIX = "/jobs/";
    static final long TASK_CPU = 1_600;

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final Path folder = Files.createTempDirectory("caperturn-review");
    private final EventRecord record;
    private final Executor.RunListener listener;
    private final Store store;
    private final InetSocketAddress storeAddress;
    private final int network = 1 + (int) (ProcessHandle.current().pid() % 250);
    private final int linkPort = freePort();
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int controlPort = freePort();
    private final int executorPort = freePort();
    private final Map<String, ProcessBuilder> builders = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, Executor> executors = new LinkedHashMap<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    Deployment(EventRecord record, int maximumAttempts, Executor.RunListener listener) throws IOException {
        this.record = record;
        this.listener = listener;
        store = new Store(record);
        storeAddress = new InetSocketAddress("127." + network + ".0.7", freePort());
        store.listen(storeAddress);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly), "cleanup"));
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "queue");
        route.put("host", HOST);
        route.put("pathPrefix", PREFIX);
        route.put("service", SERVICE);
        route.put("priority", 0);
        route.put("maxAttempts", maximumAttempts);
        route.put("stretch", 3.0);
        route.put("targetDurationMs", 30_000);
        store.writeOperatorRow(
                "config",
                Map.of(
                        "version", 7, "routes", List.of(route),
                        "services", List.of(Map.of("name", SERVICE, "enforcesCapacity", !"0".equals(System.getenv("GUARD")))),
                        "limits", Map.of("maxBodyBytes", 262_144)));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    Store store() {
        return store;
    }

    InetSocketAddress storeAddress() {
        return storeAddress;
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Returns the address of a machine; the last number names it, and the third the network of machines or proxies. */
    InetSocketAddress linkAddress(int third, int last) {
        return new InetSocketAddress("127." + network + "." + third + "." + last, linkPort);
    }

    List<String> names() {
        return List.copyOf(builders.keySet());
    }

    Executor executor(String name) {
        return executors.get(name);
    }

    List<Executor> executors() {
        return List.copyOf(executors.values());
    }

    /** Starts an entry, which uses the store at an address. */
    void startEntry(String name, int last, InetSocketAddress storeSeen) throws IOException {
        String ip = "127." + network + ".1." + last;
        addresses.put(name, ip);
        start(
                name,
                "entry",
                ip,
                storeSeen,
                Map.of("front", ip + ":" + frontPort, "ready", ip + ":" + readyPort),
                /* executor= */ null);
    }

    /** Starts an executor and the sidecar beside it. */
    void startSidecar(String name, int last, List<String> labels) throws IOException {
        startSidecar(name, last, labels, /* proxied= */ false);
    }

    /** Starts an executor and the sidecar beside it; returns the proxy between them, or null if there is none. */
    CuttableProxy startSidecar(String name, int last, List<String> labels, boolean proxied) throws IOException {
        String ip = "127." + network + ".2." + last;
        String control = ip + ":" + controlPort;
        InetSocketAddress address = new InetSocketAddress(ip, executorPort);
        Executor executor = new Executor("i-" + name, address, control, labels, record, listener);
        executors.put(name, executor);
        executor.start(/* firstLife= */ true);
        InetSocketAddress seen = proxied ? linkAddress(4, last) : address;
        CuttableProxy proxy = proxied ? new CuttableProxy(seen, address) : null;
        start(
                name,
                "sidecar",
                ip,
                storeAddress,
                Map.of("control", control),
                text(seen));
        return proxy;
    }

    private void start(
            String name, String role, String ip, InetSocketAddress storeSeen, Map<String, Object> listen, String executor)
            throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("nodeName", name);
        settings.put("role", role);
        settings.put("machineClass", role.equals("entry") ? "front" : "side");
        settings.put("ip", ip);
        settings.put("zone", "zone-a");
        settings.put("region", "region-a");
        settings.put("internalPorts", List.of(linkPort, linkPort + 15));
        settings.put("seeds", List.of());
        settings.put("bootstrap", true);
        settings.put("heartbeatMs", 1_500);
        settings.put("controlMode", "rpc");
        settings.put("zones", Map.of("zone-a", "region-a"));
        settings.put("listen", listen);
        if (executor != null) {
            settings.put("app", executor);
        }
        settings.put("limits", Map.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4_100));
        settings.put("platform", Map.of("address", text(storeSeen)));
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("contactMs", 3_000);
        bounds.put("ackMs", 4_000);
        bounds.put("drainMs", 2_000);
        bounds.put("graceS", 6);
        bounds.put("configApplyMs", 2_000);
        bounds.put("maxHoldMs", 1_000);
        bounds.put("stopTimeoutMs", 50);
        bounds.put("cancel_ms", 3_000);
        bounds.put("visible_ms", 3_000);
        bounds.put("finish_s", 14);
        bounds.put("status_s", 120);
        bounds.put("resendMs", 1_300);
        settings.put("bounds", bounds);
        Path file = folder.resolve(name + ".json");
        Files.write(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CAPERTURN_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        builders.put(name, builder);
        processes.put(name, builder.start());
    }

    /** Kills a process and starts it again after a pause, with the same settings. */
    void killAndRestart(String name, long pauseMilliseconds) throws IOException, InterruptedException {
        ProcessBuilder builder = builders.get(name);
        // One at a time, as there is never more than one process of a machine's role.
        synchronized (builder) {
            record.add("kill %s", name);
            processes.get(name).destroyForcibly().waitFor();
            Thread.sleep(pauseMilliseconds);
            record.add("start %s", name);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    folder.resolve(name + ".log").toFile()));
            processes.put(name, builder.start());
        }
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(Path.of("deploy", "system.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return new ArrayList<>(Arrays.asList(matcher.group(1).split(" ")));
    }

    /** Waits until each entry accepts a stored job, which shows that it knows the configuration and a sidecar. */
    void awaitReady(List<String> entries, String labels) throws InterruptedException, IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        int number = 0;
        for (String entry : entries) {
            while (true) {
                if (System.nanoTime() > deadline) {
                    throw new IOException("entry " + entry + " is not ready");
                }
                String identity = String.format("f%015x", number++);
                if (request(entry, "POST", identity, job(1, 20, labels, /* stored= */ true)).status() == 200) {
                    break;
                }
                Thread.sleep(100);
            }
        }
        Thread.sleep(1_500);
    }

    /** Returns the body of a job with one step of equal tasks. */
    static Map<String, Object> job(int tasks, long milliseconds, String label, boolean stored) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", tasks);
        step.put("cpu", TASK_CPU);
        step.put("memMb", 64);
        step.put("estimatedMs", milliseconds);
        if (!label.isEmpty()) {
            step.put("requirements", label);
        }
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", "text " + milliseconds);
        job.put("steps", List.of(step));
        if (!stored) {
            job.put("bestEffort", true);
        }
        return job;
    }

    /** Response to a client; the status is 0 if there was none. */
    record Response(int status, String body) {
        String state() {
            Matcher matcher = Pattern.compile("\"state\":\"(\\w+)\"").matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }
    }

    Response request(String entry, String method, String identity, Map<String, Object> body) {
        return send(entry, method, identity, body).join();
    }

    /** Sends a request of a client, and records it with its response. */
    CompletableFuture<Response> send(String entry, String method, String identity, Map<String, Object> body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://" + addresses.get(entry) + ":" + frontPort + PREFIX + identity))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .timeout(Duration.ofSeconds(5))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
                .build();
        long sentAt = record.now();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((response, failure) -> {
            Response result =
                    failure == null ? new Response(response.statusCode(), response.body()) : new Response(0, "");
            record.add(
                    "%s %s at %s, sent at %d: %d %s%s",
                    method,
                    identity,
                    entry,
                    sentAt,
                    result.status(),
                    result.body(),
                    failure == null ? "" : failure.toString());
            return result;
        });
    }

    String frontAddress(String entry) {
        return addresses.get(entry) + ":" + frontPort;
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Sends a signal to a process of this deployment. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        record.add("signal %s to %s", signal, name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    /** Copies the logs of the processes into a folder, for a look at the cause. */
    void copyLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (String name : processes.keySet()) {
            Files.write(target.resolve(name + ".log"), Files.readAllBytes(folder.resolve(name + ".log")));
        }
    }

    @Override
    public void close() {
        processes.values().forEach(process -> process.destroyForcibly().onExit().join());
        executors.values().forEach(Executor::stopListening);
        store.stopListening();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }
}
