import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Small deployment on loopback addresses: the project's programs as separate processes, started by the commands of the
 * deploy file, and stand-ins of the store and the executors. Each machine has a loopback address of its own; ports are
 * the same on all machines.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "huvo11a";
    private static final int METRICS_PORT = 9464;
    /** Third byte of the loopback addresses of the entries; those of the others follow. */
    private static final int NET = Integer.getInteger("net", 41);

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review");
    private final Map<String, String> commands = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, String> roles = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    final Store store = new Store();
    final List<Executor> executors = new ArrayList<>();
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int appPort;
    private final int storePort;
    private final int linkPort;
    private final List<String> fronts = new ArrayList<>();
    private final List<String> sides = new ArrayList<>();
    private final int tasksAtOnce;

    Deployment(int entries, int sidecars, int tasksAtOnce) throws IOException {
        this.tasksAtOnce = tasksAtOnce;
        Matcher matcher = Pattern.compile("\\[roles\\.(\\w+)\\]\\s*\\nrun = \"([^\"]*)\"")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        while (matcher.find()) {
            commands.put(matcher.group(1), matcher.group(2));
        }
        List<String> hosts = new ArrayList<>();
        for (int number = 1; number <= entries; number++) {
            String node = "front-zone-" + (char) ('a' + (number - 1) % 3) + "-" + number;
            fronts.add(node);
            roles.put(node, "entry");
            addresses.put(node, "127.0." + NET + "." + number);
        }
        for (int number = 1; number <= sidecars; number++) {
            String node = "side-zone-" + (char) ('a' + (number - 1) % 3) + "-" + number;
            sides.add(node);
            roles.put(node, "sidecar");
            addresses.put(node, "127.0." + (NET + 1) + "." + number);
        }
        hosts.addAll(addresses.values());
        for (int number = 1; number <= entries + sidecars; number++) {
            hosts.add("127.0." + (NET + 2) + "." + number);
        }
        frontPort = freePort(hosts);
        readyPort = freePort(hosts);
        controlPort = freePort(hosts);
        appPort = freePort(hosts);
        storePort = freePort(hosts);
        linkPort = freePort(hosts);
        for (String host : addresses.values()) {
            if (!isFree(host, METRICS_PORT)) {
                throw new IOException("port " + METRICS_PORT + " of the deploy file is not free on " + host);
            }
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        configure(1);
        int number = 0;
        for (String node : roles.keySet()) {
            String storeAddress = store.listen(node, "127.0." + (NET + 2) + "." + ++number, storePort);
            Files.writeString(settingsFile(node), Json.write(settings(node, storeAddress)));
        }
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private int nextPort = 20_000 + (int) (ProcessHandle.current().pid() * 37 % 10_000);

    private int freePort(List<String> hosts) {
        do {
            nextPort++;
        } while (!hosts.stream().allMatch(host -> isFree(host, nextPort)));
        return nextPort;
    }

    /** Writes a configuration, which has one queue. */
    void configure(int version) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-3hwrr6x");
        route.put("host", HOST);
        route.put("pathPrefix", PREFIX);
        route.put("kind", "unsafe");
        route.put("timeoutMs", 60_000);
        route.put("targetDurationMs", 60_000);
        route.put("priority", 0);
        route.put("service", SERVICE);
        route.put("maxAttempts", 3);
        route.put("stretch", 1.6);
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", SERVICE);
        service.put("healthPath", "/health");
        service.put("maxConnections", 64);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("enforcesCapacity", true);
        service.put("standby", false);
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", List.of(route));
        configuration.put("services", List.of(service));
        configuration.put("limits", Map.of("maxHeaderBytes", 16_384, "maxBodyBytes", 262_144));
        store.write("op", "config", configuration);
    }

    private Path settingsFile(String node) {
        return folder.resolve(node + ".json");
    }

    private Map<String, Object> settings(String node, String storeAddress) {
        boolean front = roles.get(node).equals("entry");
        String ip = addresses.get(node);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("nodeName", node);
        settings.put("role", roles.get(node));
        settings.put("machineClass", front ? "front" : "side");
        settings.put("serves", List.of(front ? "front" : "side"));
        settings.put("ip", ip);
        settings.put("zone", node.substring(0, node.lastIndexOf('-')).replaceFirst("front-|side-", ""));
        settings.put("region", "region");
        settings.put("internalPorts", List.of(linkPort, linkPort + 15));
        settings.put("seeds", List.of());
        settings.put("bootstrap", true);
        settings.put("inTolerance", false);
        settings.put("discovery", "local");
        settings.put("entry", "vip");
        settings.put("heartbeatMs", 1_500);
        settings.put(
                "contracts",
                List.of("base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"));
        settings.put("controlMode", "rpc");
        settings.put("zones", Map.of("zone-a", "region", "zone-b", "region", "zone-c", "region"));
        settings.put("limits", Map.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4_100, "diskMb", 0));
        settings.put("tolerate", Map.of("machines", 1, "zones", 0, "regions", 0));
        if (front) {
            settings.put("listen", Map.of("front", ip + ":" + frontPort, "ready", ip + ":" + readyPort));
        } else {
            settings.put("app", ip + ":" + appPort);
            settings.put("service", SERVICE);
            settings.put("listen", Map.of("control", ip + ":" + controlPort));
        }
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("contactMs", 3_000);
        bounds.put("ackMs", 4_000);
        bounds.put("drainMs", 2_000);
        bounds.put("graceS", 6);
        bounds.put("configApplyMs", 2_000);
        bounds.put("recoveryS", 12);
        bounds.put("maxHoldMs", 1_000);
        bounds.put("stopTimeoutMs", 50);
        bounds.put("cancel_ms", 3_000);
        bounds.put("visible_ms", 3_000);
        bounds.put("finish_s", 14);
        bounds.put("status_s", 120);
        bounds.put("leaseMs", 3_000);
        bounds.put("resendMs", 1_300);
        settings.put("bounds", bounds);
        Map<String, Object> platform = new LinkedHashMap<>();
        platform.put("address", storeAddress);
        platform.put("form", "table");
        platform.put("writesPerS", 800);
        platform.put("readsPerS", 2_000);
        platform.put("txnMs", 3.0);
        platform.put("partitionWritesS", 300);
        platform.put("rowBytes", 65_536);
        platform.put("crossRegion", true);
        platform.put("historyS", 20);
        settings.put("platform", platform);
        return settings;
    }

    List<String> fronts() {
        return fronts;
    }

    List<String> sides() {
        return sides;
    }

    /** Starts all processes and the executors, and waits until a probe job has run at each entry. */
    void startAll() throws Exception {
        for (int number = 0; number < sides.size(); number++) {
            startExecutor(number);
        }
        for (String node : roles.keySet()) {
            start(node);
        }
        for (String node : fronts) {
            long deadline = Transcript.now() + 20_000;
            HttpClient.Answer answer;
            do {
                Thread.sleep(100);
                answer = submit(node, Workload.probe(), false, 1, 50, 5_000);
            } while (answer.status() != 200 && Transcript.now() < deadline);
            if (answer.status() != 200) {
                throw new IOException("the deployment does not start: " + node + " answers " + answer);
            }
        }
        Thread.sleep(1_000);
        Transcript.event("the deployment serves");
    }

    /** Starts another incarnation of an executor, by the number of its sidecar from 0. */
    void startExecutor(int number) throws IOException {
        String host = addresses.get(sides.get(number));
        synchronized (executors) {
            executors.add(new Executor(
                    "i-" + (number + 1), SERVICE, "zone", host, appPort, host, controlPort, tasksAtOnce));
        }
    }

    /** Starts a process with the command of the deploy file. */
    void start(String node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(commands.get(roles.get(node)).split(" "));
        builder.directory(root.toFile());
        builder.environment().put("CAPERTURN_CONFIG", settingsFile(node).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(node).toFile()));
        synchronized (processes) {
            processes.put(node, builder.start());
        }
    }

    Path log(String node) {
        return folder.resolve(node + ".log");
    }

    /** Waits until a process has ended. */
    void awaitEnd(String node) throws InterruptedException {
        processes.get(node).waitFor();
    }

    /** Sends a signal to a process that this deployment started. */
    void signal(String node, String name) throws Exception {
        Transcript.event("SIG" + name + " to " + node);
        new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(node).pid())).start().waitFor();
    }

    Map<String, String> headers(int deadlineMilliseconds) {
        return Map.of("Host", HOST, "Request-Deadline-Ms", Integer.toString(deadlineMilliseconds));
    }

    /** Opens a client connection to an entry. */
    HttpClient connect(String node) {
        HttpClient client = new HttpClient(addresses.get(node), frontPort);
        client.connect();
        return client;
    }

    HttpClient.Answer submit(
            String node, String job, boolean stored, int tasks, long workMilliseconds, int deadlineMilliseconds) {
        return submit(node, job, Workload.job(stored, 1, tasks, workMilliseconds), deadlineMilliseconds);
    }

    HttpClient.Answer submit(String node, String job, String body, int deadlineMilliseconds) {
        try (HttpClient client = new HttpClient(addresses.get(node), frontPort)) {
            return client.call("POST", PREFIX + job, headers(deadlineMilliseconds), body, deadlineMilliseconds);
        }
    }

    HttpClient.Answer call(String node, String method, String job, int deadlineMilliseconds) {
        try (HttpClient client = new HttpClient(addresses.get(node), frontPort)) {
            return client.call(method, PREFIX + job, headers(deadlineMilliseconds), "", deadlineMilliseconds);
        }
    }

    /** Returns the runs of a job at all executors. */
    List<Executor.Run> runs(String job) {
        List<Executor.Run> runs = new ArrayList<>();
        List<Executor> all;
        synchronized (executors) {
            all = List.copyOf(executors);
        }
        for (Executor executor : all) {
            synchronized (executor) {
                executor.runs.stream().filter(run -> run.task.startsWith(job + ".")).forEach(runs::add);
            }
        }
        runs.sort(Comparator.comparingLong(run -> run.begun));
        return runs;
    }

    private void killAll() {
        synchronized (processes) {
            processes.values().forEach(Process::destroyForcibly);
            processes.values().forEach(process -> {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        executors.forEach(Executor::close);
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
