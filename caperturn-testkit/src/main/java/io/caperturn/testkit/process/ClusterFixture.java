package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.Json;
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
 * Cluster of separate processes: entries, sidecars and their upstreams.
 *
 * <p>The platform and the relays, which are never killed, live in the own process. Every connection that crosses
 * between parts goes through a relay of its own where the address allows it: each entry has one towards the platform,
 * one for its links and one for its clients, and each sidecar one towards its upstream.
 */
public final class ClusterFixture implements AutoCloseable {
    private static final String PRODUCT = "io.caperturn.cli.Main";
    private static final String STAND_IN = "io.caperturn.testkit.Main";
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final ClusterOptions options;
    private final ProcessHarness harness;
    private final Path record;
    private final EntryClient client = new EntryClient();
    private final StandInPlatform platform;
    private final List<AutoCloseable> relays = new ArrayList<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final List<SidecarNode> sidecars = new ArrayList<>();

    /**
     * Entry with the relays around it.
     *
     * @param process the entry's process
     * @param toPlatform what its connections to the platform pass
     * @param toLinks what the links of sidecars pass
     * @param toHttp what clients may pass
     */
    public record EntryNode(
            RunningProcess process, StandInRelay toPlatform, StandInRelay toLinks, StandInRelay toHttp) {
        /**
         * Returns the entry's own HTTP address.
         *
         * @return the address, without the relay
         */
        public Endpoint http() {
            return process.endpoint("http");
        }
    }

    /**
     * Sidecar with its upstream.
     *
     * @param process the sidecar's process
     * @param upstream the upstream's process
     * @param toUpstream what the sidecar's connections to its upstream pass
     */
    public record SidecarNode(RunningProcess process, RunningProcess upstream, StandInRelay toUpstream) {}

    private ClusterFixture(String name, ClusterOptions options) throws IOException {
        this.options = options;
        this.harness = new ProcessHarness(Path.of("target", "processes", name));
        this.record = harness.directory().resolve("record.jsonl").toAbsolutePath();
        Files.deleteIfExists(record);
        this.platform = new StandInPlatform(Endpoint.ANY);
    }

    /**
     * Starts a cluster and waits until every entry takes work.
     *
     * @param name the cluster's name, for the folder of its logs under {@code target/processes}
     * @param options what it is made of
     * @return the cluster
     * @throws IOException if a part can't be started
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
     * Returns the client.
     *
     * @return the client, for entries and controls
     */
    public EntryClient client() {
        return client;
    }

    /**
     * Returns the platform.
     *
     * @return the stand-in
     */
    public StandInPlatform platform() {
        return platform;
    }

    /**
     * Returns an entry.
     *
     * @param index its number, from 0
     * @return the entry as it was last started
     */
    public EntryNode entry(int index) {
        return entries.get(index);
    }

    /**
     * Returns a sidecar.
     *
     * @param index its number, from 0
     * @return the sidecar as it was last started
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
     * Reads what the upstreams have recorded so far.
     *
     * @return the records
     */
    public UpstreamRecords records() {
        return UpstreamRecords.read(record);
    }

    /**
     * Starts an entry again at its addresses, after its process has ended.
     *
     * @param index its number
     * @throws IOException if it can't be started
     */
    public void restartEntry(int index) throws IOException {
        EntryNode old = entries.get(index);
        RunningProcess process = startEntry(
                index,
                old.http(),
                old.process().endpoint("link"),
                old.toPlatform().address());
        entries.set(index, new EntryNode(process, old.toPlatform(), old.toLinks(), old.toHttp()));
        awaitReady(process.endpoint("http"));
    }

    /**
     * Starts a sidecar again at its address, after its process has ended.
     *
     * @param index its number
     * @throws IOException if it can't be started
     */
    public void restartSidecar(int index) throws IOException {
        SidecarNode old = sidecars.get(index);
        RunningProcess process = startSidecar(index, old.process().endpoint("announce"));
        sidecars.set(index, new SidecarNode(process, old.upstream(), old.toUpstream()));
    }

    /**
     * Starts an upstream again at its address, after its process has ended.
     *
     * @param index its sidecar's number
     * @throws IOException if it can't be started
     */
    public void restartUpstream(int index) throws IOException {
        SidecarNode old = sidecars.get(index);
        RunningProcess upstream = startUpstream(
                index,
                old.upstream().endpoint("http"),
                old.process().endpoint("announce"),
                old.toUpstream().address());
        sidecars.set(index, new SidecarNode(old.process(), upstream, old.toUpstream()));
    }

    @Override
    public void close() {
        harness.close();
        client.close();
        relays.add(platform);
        for (AutoCloseable part : relays) {
            try {
                part.close();
            } catch (Exception e) {
                throw new IllegalStateException("can't stop a stand-in", e);
            }
        }
    }

    private void startAll() throws IOException {
        ClientAnswer seeded = client.exchange("POST", platform.address(), "/v1/transact", Map.of(), options.seed());
        if (!seeded.isComplete()) {
            throw new AssertionError("the platform refused the table: " + seeded);
        }
        for (int index = 0; index < options.entries(); index++) {
            StandInRelay toPlatform = relay(platform.address());
            RunningProcess process = startEntry(index, Endpoint.ANY, Endpoint.ANY, toPlatform.address());
            entries.add(new EntryNode(
                    process, toPlatform, relay(process.endpoint("link")), relay(process.endpoint("http"))));
        }
        for (int index = 0; index < options.sidecars(); index++) {
            RunningProcess process = startSidecar(index, Endpoint.ANY);
            StandInRelay toUpstream = relay(Endpoint.ANY);
            RunningProcess upstream =
                    startUpstream(index, Endpoint.ANY, process.endpoint("announce"), toUpstream.address());
            toUpstream.target(upstream.endpoint("http"));
            sidecars.add(new SidecarNode(process, upstream, toUpstream));
        }
        entries.forEach(entry -> awaitReady(entry.http()));
    }

    private void awaitReady(Endpoint http) {
        Conditions.await(
                "entry at " + http + " is ready",
                READY_TIMEOUT,
                () -> client.exchange("GET", http, "/readyz", Map.of(), null).isComplete());
    }

    private RunningProcess startEntry(int index, Endpoint http, Endpoint link, Endpoint platformAddress)
            throws IOException {
        String name = "entry-" + index;
        ObjectNode settings = Json.object()
                .put("name", name)
                .put("availabilityZone", "zone-" + index)
                .put("httpAddress", http.toString())
                .put("linkAddress", link.toString())
                .put("platformAddress", platformAddress.toString());
        settings.setAll((ObjectNode) Json.of(options.entrySettings()));
        return harness.start(name, PRODUCT, daemon("entry", name, settings), Set.of("http", "link"));
    }

    private RunningProcess startSidecar(int index, Endpoint announce) throws IOException {
        String name = "sidecar-" + index;
        ObjectNode settings = Json.object()
                .put("name", name)
                .put("availabilityZone", "zone-" + index)
                .put("announceAddress", announce.toString());
        settings.set(
                "entrySeeds",
                Json.of(entries.stream()
                        .map(entry -> entry.toLinks().address().toString())
                        .toList()));
        settings.setAll((ObjectNode) Json.of(options.sidecarSettings()));
        return harness.start(name, PRODUCT, daemon("sidecar", name, settings), Set.of("announce"));
    }

    private RunningProcess startUpstream(int index, Endpoint listen, Endpoint announce, Endpoint advertise)
            throws IOException {
        String name = "upstream-" + index;
        List<String> arguments = new ArrayList<>(List.of(
                "upstream",
                "--name",
                name,
                "--listen",
                listen.toString(),
                "--sidecar",
                announce.toString(),
                "--advertise",
                advertise.toString(),
                "--slots",
                String.valueOf(options.slots()),
                "--record",
                record.toString()));
        options.kinds().forEach(kind -> arguments.addAll(List.of("--kind", kind)));
        return harness.start(name, STAND_IN, arguments, Set.of("http"));
    }

    private List<String> daemon(String program, String name, ObjectNode settings) throws IOException {
        Path file = harness.directory().resolve(name + ".json").toAbsolutePath();
        Files.writeString(file, settings.toPrettyString());
        return List.of(program, "--settings", file.toString());
    }

    private StandInRelay relay(Endpoint target) throws IOException {
        StandInRelay relay = new StandInRelay(Endpoint.ANY, target, Endpoint.ANY);
        relays.add(relay);
        return relay;
    }
}
