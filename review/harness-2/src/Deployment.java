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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Small deployment on loopback addresses: a store, executors and callers as stand-ins, and the project's entries and
 * sidecars as processes that the commands of the deploy file start. Each machine has a loopback address of its own.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "jobs.example";
    static final String SERVICE = "work";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final RunLog log;
    private final Jobs jobs = new Jobs();
    private final Path folder;
    private final String network;
    private final int firstPort;
    private final StoreStandIn store;
    private final Map<String, Machine> entries = new LinkedHashMap<>();
    private final Map<String, Machine> sidecars = new LinkedHashMap<>();
    private final List<ExecutorStandIn> executors = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    // The client sets the Host header of a request only if this property allows it.
    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    /** Machine of the system with one process. */
    private static final class Machine {
        private final String name;
        private final String address;
        private final String role;
        private final Path settings;
        private Process process;

        private Machine(String name, String address, String role, Path settings) {
            this.name = name;
            this.address = address;
            this.role = role;
            this.settings = settings;
        }
    }

    Deployment(RunLog log, int entryCount, int sidecarCount, long executorCapacity, List<List<String>> labels)
            throws IOException {
        this.log = log;
        this.folder = Files.createTempDirectory("caperturn-review-");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(16, 240) + "." + random.nextInt(1, 250) + ".";
        this.firstPort = findFreePorts();
        // A script that is ended early leaves no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        this.store = new StoreStandIn(new InetSocketAddress(network + "2", firstPort));
        store.startServer();
        for (int number = 1; number <= entryCount; number++) {
            String name = "front-zone-a-" + number;
            String address = network + (10 + number);
            Map<String, Object> listen = new LinkedHashMap<>();
            listen.put("front", address + ":" + (firstPort + 1));
            listen.put("ready", address + ":" + (firstPort + 2));
            entries.put(name, new Machine(name, address, "entry", writeSettings(name, "front", address, listen, null)));
        }
        for (int number = 1; number <= sidecarCount; number++) {
            String name = "side-zone-a-" + number;
            String address = network + (100 + number);
            String control = address + ":" + (firstPort + 3);
            InetSocketAddress application = new InetSocketAddress(address, firstPort + 4);
            Path settings = writeSettings(
                    name, "side", address, Map.of("control", control), address + ":" + application.getPort());
            sidecars.put(name, new Machine(name, address, "sidecar", settings));
            executors.add(new ExecutorStandIn(
                    "executor-" + number,
                    SERVICE,
                    application,
                    control,
                    executorCapacity,
                    labels.get((number - 1) % labels.size()),
                    jobs,
                    log));
        }
    }

    private int findFreePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                for (int offset = 0; offset < 7; offset++) {
                    sockets.add(new ServerSocket(first + offset, 1, InetAddress.getByName(network + "2")));
                }
                return first;
            } catch (IOException e) {
                // One of the ports is in use; others are tried.
            } finally {
                for (ServerSocket socket : sockets) {
                    socket.close();
                }
            }
        }
        throw new IOException("no free ports");
    }

    private Path writeSettings(
            String name, String machineClass, String address, Map<String, Object> listen, String application)
            throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("nodeName", name);
        settings.put("role", machineClass.equals("front") ? "entry" : "sidecar");
        settings.put("machineClass", machineClass);
        settings.put("serves", List.of(machineClass));
        settings.put("ip", address);
        settings.put("zone", "zone-a");
        settings.put("region", "region");
        settings.put("internalPorts", List.of(firstPort + 5, firstPort + 6));
        settings.put("bootstrap", true);
        settings.put("heartbeatMs", 1_500);
        settings.put("controlMode", "rpc");
        settings.put("zones", Map.of("zone-a", "region"));
        settings.put("listen", listen);
        if (application != null) {
            settings.put("app", application);
            settings.put("service", SERVICE);
        }
        settings.put("limits", Map.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4_100));
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
        Map<String, Object> platform = new LinkedHashMap<>();
        platform.put("address", network + "2:" + firstPort);
        platform.put("form", "table");
        platform.put("writesPerS", 800);
        platform.put("readsPerS", 2_000);
        platform.put("txnMs", 3.0);
        platform.put("rowBytes", StoreStandIn.ROW_BYTES);
        platform.put("crossRegion", true);
        platform.put("historyS", 20);
        settings.put("platform", platform);
        Path file = folder.resolve(name + ".json");
        Files.write(file, Json.write(settings));
        return file;
    }

    StoreStandIn store() {
        return store;
    }

    Jobs jobs() {
        return jobs;
    }

    List<ExecutorStandIn> executors() {
        return executors;
    }

    /** Returns the control address of a sidecar's machine; machines are counted from 1. */
    String controlAddress(int number) {
        return network + (100 + number) + ":" + (firstPort + 3);
    }

    /** Returns the address of an entry for callers; machines are counted from 1. */
    InetSocketAddress frontAddress(int number) {
        return new InetSocketAddress(network + (10 + number), firstPort + 1);
    }

    /** Returns an address of this deployment that nothing else uses, for a proxy of the script. */
    InetSocketAddress spareAddress() {
        return new InetSocketAddress(network + "3", firstPort);
    }

    static String entryName(int number) {
        return "front-zone-a-" + number;
    }

    static String sidecarName(int number) {
        return "side-zone-a-" + number;
    }

    /** Returns a route of a queue. */
    static Map<String, Object> route(String name, int maximumAttempts, long targetMilliseconds) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("pathPrefix", "/" + name + "/");
        route.put("kind", "unsafe");
        route.put("timeoutMs", 1_500);
        route.put("targetDurationMs", targetMilliseconds);
        route.put("priority", 0);
        route.put("service", SERVICE);
        route.put("maxAttempts", maximumAttempts);
        route.put("stretch", 1.6);
        return route;
    }

    /** Writes a version of the configuration with routes. */
    void configure(int version, List<Map<String, Object>> routes) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", routes);
        configuration.put(
                "services",
                List.of(Map.of("name", SERVICE, "healthPath", "/health", "enforcesCapacity", true, "standby", false)));
        configuration.put("limits", Map.of("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144));
        store.configure(configuration);
        log.note("configuration " + version);
    }

    /** Starts all processes and executors, and waits until all entries are ready. */
    void startAll() throws IOException, InterruptedException {
        for (Machine machine : machines()) {
            start(machine);
        }
        for (ExecutorStandIn executor : executors) {
            executor.start();
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        for (Machine entry : entries.values()) {
            while (!isReady(entry)) {
                if (System.nanoTime() > deadline) {
                    throw new IOException(entry.name + " does not become ready");
                }
                Thread.sleep(50);
            }
        }
        // All sidecars have to be known to all entries before the case begins.
        Thread.sleep(1_500);
        log.note("all entries are ready");
    }

    private List<Machine> machines() {
        List<Machine> machines = new ArrayList<>(entries.values());
        machines.addAll(sidecars.values());
        return machines;
    }

    private boolean isReady(Machine entry) throws InterruptedException {
        try {
            return client.send(
                                    HttpRequest.newBuilder(URI.create(
                                                    "http://" + entry.address + ":" + (firstPort + 2) + "/readiness"))
                                            .timeout(Duration.ofSeconds(1))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private Machine machine(String name) {
        return entries.containsKey(name) ? entries.get(name) : sidecars.get(name);
    }

    /** Starts the process of a machine, or starts it again. */
    void start(String name) throws IOException {
        start(machine(name));
    }

    private void start(Machine machine) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(machine.role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CAPERTURN_CONFIG", machine.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.name + ".log").toFile()));
        machine.process = builder.start();
        log.note("process " + machine.name + " is started");
    }

    /** Returns the command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"")
                .matcher(text);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(matcher.group(1).split(" "));
    }

    /** Ends the process of a machine with SIGKILL. */
    void kill(String name) throws InterruptedException {
        machine(name).process.destroyForcibly().waitFor();
        log.note("process " + name + " is killed");
    }

    /** Sends a signal, such as {@code STOP}, to the process of a machine. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(machine(name).process.pid()))
                .start()
                .waitFor();
        log.note("process " + name + " is sent SIG" + signal);
    }

    /** Returns whether the processes of all machines run. */
    boolean areAllProcessesAlive() {
        return machines().stream().allMatch(machine -> machine.process.isAlive());
    }

    /** Returns what a process has logged. */
    String processLog(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    Path folder() {
        return folder;
    }

    /** Answer to a caller; a status of 0 stands for no answer. */
    record Answer(int status, String body) {
        boolean isState(String state) {
            return status == 200 && body.contains("\"state\":\"" + state + "\"");
        }
    }

    /** Submits a stored job at an entry, whose steps come one after the other. */
    Answer submit(int entry, String queue, String job, List<Jobs.Step> steps) throws InterruptedException {
        return submit(entry, queue, job, "spec of " + job, steps, /* afterAllEarlier= */ false);
    }

    /** Submits a stored job at an entry; each step names the last earlier one, or all, as those that come before it. */
    Answer submit(
            int entry, String queue, String job, String spec, List<Jobs.Step> steps, boolean afterAllEarlier)
            throws InterruptedException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", spec);
        List<Object> stepBodies = new ArrayList<>();
        steps.forEach(step -> stepBodies.add(step.toJson(stepBodies.size(), afterAllEarlier)));
        body.put("steps", stepBodies);
        jobs.add(job, steps);
        byte[] text = Json.write(body);
        Answer answer = call(entry, "POST", queue, job, text);
        log.note("POST " + queue + "/" + job + " of " + text.length + " bytes at " + entryName(entry) + ": " + answer);
        return answer;
    }

    /** Asks an entry for the state of a job. */
    Answer state(int entry, String queue, String job) throws InterruptedException {
        return call(entry, "GET", queue, job, new byte[0]);
    }

    /** Asks an entry for the state of a job, and records the answer. */
    Answer recordState(int entry, String queue, String job) throws InterruptedException {
        Answer answer = state(entry, queue, job);
        log.note("GET " + queue + "/" + job + " at " + entryName(entry) + ": " + answer);
        return answer;
    }

    private Answer call(int entry, String method, String queue, String job, byte[] body) throws InterruptedException {
        InetSocketAddress address = frontAddress(entry);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://"
                        + address.getAddress().getHostAddress() + ":" + address.getPort() + "/" + queue + "/" + job))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .timeout(CALL_TIMEOUT)
                .method(
                        method,
                        body.length == 0
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private void endProcesses() {
        for (Machine machine : machines()) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        for (Machine machine : machines()) {
            if (machine.process != null) {
                machine.process.onExit().join();
            }
        }
        executors.stream().filter(ExecutorStandIn::isUp).forEach(ExecutorStandIn::crash);
        store.stopServer();
    }
}
