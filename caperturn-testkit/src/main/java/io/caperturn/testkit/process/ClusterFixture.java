package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import io.caperturn.testkit.platform.StandInPlatform;
import io.caperturn.testkit.relay.StandInRelay;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Cluster of separate processes: entry processes, which accept submissions, and sidecar processes, each with an
 * upstream that runs tasks.
 *
 * <p>The stand-in for the platform's store and the relays run in the process of the test, because no test kills them.
 * Connections pass through relays, so that a test can simulate network faults. Each entry has a relay to the store, one
 * for links (connections from sidecars) and one for clients. Each sidecar has a relay to its upstream.
 */
public final class ClusterFixture implements AutoCloseable {
    private static final String CAPERTURN_MAIN_CLASS = "io.caperturn.cli.Main";
    private static final String STAND_IN_MAIN_CLASS = "io.caperturn.testkit.Main";
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final ClusterOptions options;
    private final ProcessHarness harness;
    private final Path recordFile;
    private final TestClient client = new TestClient();
    private final StandInPlatform platform;
    private final List<AutoCloseable> standIns = new ArrayList<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final List<SidecarNode> sidecars = new ArrayList<>();

    /**
     * Entry with its relays.
     *
     * @param process the process of the entry
     * @param platformRelay the relay for connections of the entry to the store
     * @param linkRelay the relay for links from sidecars
     * @param httpRelay the relay for requests of clients
     */
    public record EntryNode(
            RunningProcess process, StandInRelay platformRelay, StandInRelay linkRelay, StandInRelay httpRelay) {
        /**
         * Returns the HTTP address of the entry itself.
         *
         * @return the address, which bypasses the relay
         */
        public HostAndPort httpAddress() {
            return process.address("http");
        }
    }

    /**
     * Sidecar with its upstream and relay.
     *
     * @param process the process of the sidecar
     * @param upstream the process of the upstream
     * @param upstreamRelay the relay for connections of the sidecar to the upstream
     */
    public record SidecarNode(RunningProcess process, RunningProcess upstream, StandInRelay upstreamRelay) {}

    private ClusterFixture(String name, ClusterOptions options) throws IOException {
        this.options = options;
        this.harness = new ProcessHarness(Path.of("target", "processes", name));
        this.recordFile = harness.directory().resolve("record.jsonl").toAbsolutePath();
        Files.deleteIfExists(recordFile);
        this.platform = new StandInPlatform(HostAndPort.FREE_LOOPBACK_PORT);
    }

    /**
     * Starts a cluster and waits until every entry is ready.
     *
     * @param name the name of the folder under {@code target/processes} for logs and settings
     * @param options the size and settings
     * @return the cluster
     * @throws IOException if a process or stand-in can't be started
     */
    public static ClusterFixture start(String name, ClusterOptions options) throws IOException {
        ClusterFixture cluster = new ClusterFixture(name, options);
        try {
            cluster.startAll();
            return cluster;
        } catch (IOException | RuntimeException | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    /**
     * Returns the client of the cluster.
     *
     * @return the client for entries and controls
     */
    public TestClient client() {
        return client;
    }

    /**
     * Returns the stand-in platform.
     *
     * @return the platform
     */
    public StandInPlatform platform() {
        return platform;
    }

    /**
     * Returns an entry with its latest process.
     *
     * @param index the index, from 0
     * @return the entry
     */
    public EntryNode entry(int index) {
        return entries.get(index);
    }

    /**
     * Returns a sidecar with its latest process.
     *
     * @param index the index, from 0
     * @return the sidecar
     */
    public SidecarNode sidecar(int index) {
        return sidecars.get(index);
    }

    /**
     * Returns the number of sidecars.
     *
     * @return the number
     */
    public int sidecarCount() {
        return sidecars.size();
    }

    /**
     * Reads the execution record that the upstreams have written so far.
     *
     * @return the record
     */
    public ExecutionRecord executionRecord() {
        return ExecutionRecord.read(recordFile);
    }

    /**
     * Starts a new process of an entry at the same addresses and waits until it is ready. The previous process must
     * have exited.
     *
     * @param index the index, from 0
     * @throws IOException if the process can't be started
     */
    public void restartEntry(int index) throws IOException {
        EntryNode previous = entries.get(index);
        RunningProcess process = startEntry(
                index,
                previous.httpAddress(),
                previous.process().address("link"),
                previous.platformRelay().address());
        entries.set(
                index, new EntryNode(process, previous.platformRelay(), previous.linkRelay(), previous.httpRelay()));
        awaitReady(process.address("http"));
    }

    /**
     * Starts a new process of a sidecar at the same address. The previous process must have exited.
     *
     * @param index the index, from 0
     * @throws IOException if the process can't be started
     */
    public void restartSidecar(int index) throws IOException {
        SidecarNode previous = sidecars.get(index);
        RunningProcess process = startSidecar(index, previous.process().address("announce"));
        sidecars.set(index, new SidecarNode(process, previous.upstream(), previous.upstreamRelay()));
    }

    /**
     * Starts a new process of an upstream at the same address. The previous process must have exited.
     *
     * @param index the index of the sidecar
     * @throws IOException if the process can't be started
     */
    public void restartUpstream(int index) throws IOException {
        SidecarNode previous = sidecars.get(index);
        RunningProcess upstream = startUpstream(
                index,
                previous.upstream().address("http"),
                previous.process().address("announce"),
                previous.upstreamRelay().address());
        sidecars.set(index, new SidecarNode(previous.process(), upstream, previous.upstreamRelay()));
    }

    @Override
    public void close() {
        harness.close();
        client.close();
        standIns.add(platform);
        for (AutoCloseable standIn : standIns) {
            try {
                standIn.close();
            } catch (Exception e) {
                throw new IllegalStateException("cannot stop a stand-in", e);
            }
        }
    }

    private void startAll() throws IOException {
        ClientResponse seedResponse = client.exchange(
                "POST", platform.address(), "/v1/transact", Map.of(), options.initialTableTransaction());
        if (!seedResponse.isSuccessful()) {
            throw new AssertionError("the platform refused the initial table: " + seedResponse);
        }
        for (int index = 0; index < options.entryCount(); index++) {
            StandInRelay platformRelay = startRelay(platform.address());
            RunningProcess process = startEntry(
                    index, HostAndPort.FREE_LOOPBACK_PORT, HostAndPort.FREE_LOOPBACK_PORT, platformRelay.address());
            entries.add(new EntryNode(
                    process, platformRelay, startRelay(process.address("link")), startRelay(process.address("http"))));
        }
        for (int index = 0; index < options.sidecarCount(); index++) {
            RunningProcess process = startSidecar(index, HostAndPort.FREE_LOOPBACK_PORT);
            StandInRelay upstreamRelay = startRelay(HostAndPort.FREE_LOOPBACK_PORT);
            RunningProcess upstream = startUpstream(
                    index, HostAndPort.FREE_LOOPBACK_PORT, process.address("announce"), upstreamRelay.address());
            upstreamRelay.setTarget(upstream.address("http"));
            sidecars.add(new SidecarNode(process, upstream, upstreamRelay));
        }
        entries.forEach(entry -> awaitReady(entry.httpAddress()));
    }

    private void awaitReady(HostAndPort httpAddress) {
        Conditions.await(
                "entry at " + httpAddress + " is ready",
                READY_TIMEOUT,
                () -> client.exchange("GET", httpAddress, "/readyz", Map.of(), null)
                        .isSuccessful());
    }

    private RunningProcess startEntry(
            int index, HostAndPort httpAddress, HostAndPort linkAddress, HostAndPort platformAddress)
            throws IOException {
        String name = "entry-" + index;
        ObjectNode settings = TestkitJson.object()
                .put("name", name)
                .put("availabilityZone", "zone-" + index)
                .put("httpAddress", httpAddress.toString())
                .put("linkAddress", linkAddress.toString())
                .put("platformAddress", platformAddress.toString());
        settings.setAll((ObjectNode) TestkitJson.of(options.entrySettings()));
        return harness.start(
                name,
                CAPERTURN_MAIN_CLASS,
                writeSettingsAndBuildArguments("entry", name, settings),
                Set.of("http", "link"));
    }

    private RunningProcess startSidecar(int index, HostAndPort announceAddress) throws IOException {
        String name = "sidecar-" + index;
        ObjectNode settings = TestkitJson.object()
                .put("name", name)
                .put("availabilityZone", "zone-" + index)
                .put("announceAddress", announceAddress.toString());
        settings.set(
                "entrySeeds",
                TestkitJson.of(entries.stream()
                        .map(entry -> entry.linkRelay().address().toString())
                        .toList()));
        settings.setAll((ObjectNode) TestkitJson.of(options.sidecarSettings()));
        return harness.start(
                name,
                CAPERTURN_MAIN_CLASS,
                writeSettingsAndBuildArguments("sidecar", name, settings),
                Set.of("announce"));
    }

    private RunningProcess startUpstream(
            int index, HostAndPort listenAddress, HostAndPort announceAddress, HostAndPort advertisedAddress)
            throws IOException {
        String name = "upstream-" + index;
        List<String> arguments = new ArrayList<>(List.of(
                "upstream",
                "--name",
                name,
                "--listen",
                listenAddress.toString(),
                "--sidecar",
                announceAddress.toString(),
                "--advertise",
                advertisedAddress.toString(),
                "--slots",
                String.valueOf(options.slotsPerUpstream()),
                "--record",
                recordFile.toString()));
        options.kinds().forEach(kind -> arguments.addAll(List.of("--kind", kind)));
        return harness.start(name, STAND_IN_MAIN_CLASS, arguments, Set.of("http"));
    }

    private List<String> writeSettingsAndBuildArguments(String program, String name, ObjectNode settings)
            throws IOException {
        Path file = harness.directory().resolve(name + ".json").toAbsolutePath();
        Files.writeString(file, settings.toPrettyString());
        return List.of(program, "--settings", file.toString());
    }

    private StandInRelay startRelay(HostAndPort target) throws IOException {
        StandInRelay relay = new StandInRelay(HostAndPort.FREE_LOOPBACK_PORT, target, HostAndPort.FREE_LOOPBACK_PORT);
        standIns.add(relay);
        return relay;
    }
}
