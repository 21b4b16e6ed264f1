package io.caperturn.jobs.simulation;

import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobFrameCodec;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.owner.EntryController;
import io.caperturn.jobs.owner.EntryHost;
import io.caperturn.jobs.owner.EntryParameters;
import io.caperturn.jobs.owner.ProcessRegistration;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.upstream.SidecarController;
import io.caperturn.jobs.upstream.SidecarTimings;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Simulated entry processes and sidecars with their upstreams, in virtual time; the links between processes take a
 * millisecond and can be cut.
 */
final class SimulatedFleet {
    private static final long LINK_LATENCY_MILLISECONDS = 1;
    private static final long ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;
    private static final long LINK_CHECK_INTERVAL_MILLISECONDS = 20;
    /** Time after which the processes at both ends of a cut link see it closed. */
    private static final long LINK_TIMEOUT_MILLISECONDS = 1_800;

    private final VirtualTime time = new VirtualTime();
    private final MemoryStore store = new MemoryStore(time);
    private final StartRecord recordOfStarts = new StartRecord();
    private final Map<String, SimulatedProcess> processes = new HashMap<>();
    private final Map<String, SimulatedUpstream> upstreams = new HashMap<>();
    private final Set<String> isolatedNodes = new HashSet<>();
    private RoutingTable routingTable =
            new RoutingTable(/* version= */ 1, List.of(SampleJobs.QUEUE), /* maximumBodyBytes= */ 100_000);
    private final FrameTraffic traffic = new FrameTraffic();
    private final SimulatedZones zones;
    private int incarnationCount;

    /**
     * Starts a fleet, and advances the time by 1,500 ms.
     *
     * @param entryCount number of entries, named {@code entry-0} and so on
     * @param sidecars number of sidecars, named {@code sidecar-0} and so on
     * @param taskDurations duration of each task, in milliseconds
     */
    SimulatedFleet(int entryCount, int sidecars, ToLongFunction<TaskIdentity> taskDurations) {
        this(entryCount, sidecars, /* zoneCount= */ 0, taskDurations);
    }

    /** Starts a fleet as the other constructor does, with sidecars in zones named {@code zone-0} and so on in turn. */
    SimulatedFleet(int entryCount, int sidecars, int zoneCount, ToLongFunction<TaskIdentity> taskDurations) {
        zones = new SimulatedZones(time, store, zoneCount);
        for (int number = 0; number < entryCount; number++) {
            startEntry("entry-" + number);
        }
        for (int number = 0; number < sidecars; number++) {
            String node = "sidecar-" + number;
            upstreams.put(node, new SimulatedUpstream(time, "upstream-" + number, recordOfStarts, taskDurations));
            startSidecar(node);
            announcePeriodically(node);
        }
        openLinks();
        time.runUntil(1_500);
    }

    private void announcePeriodically(String node) {
        SimulatedUpstream upstream = upstreams.get(node);
        if (!upstream.isDown()) {
            loop(node).run(() -> processes.get(node).sidecar.handleAnnouncement(upstream.announcement()));
        }
        time.after(ANNOUNCEMENT_INTERVAL_MILLISECONDS, () -> announcePeriodically(node));
    }

    /** Opens the missing links among entries, and between entries and sidecars, and repeats this at an interval. */
    private void openLinks() {
        List<SimulatedProcess> all = new ArrayList<>(processes.values());
        for (SimulatedProcess first : all) {
            for (SimulatedProcess second : all) {
                boolean shouldLink =
                        first.sidecar == null && (second.sidecar != null || first.node.compareTo(second.node) < 0);
                boolean reachable = first.loop.isResponsive() && second.loop.isResponsive() && canReach(first, second);
                if (shouldLink && reachable && !first.peers.contains(second)) {
                    first.peers.add(second);
                    second.peers.add(first);
                    traffic.recordLink(first.incarnation, second.incarnation);
                    first.handleLinkOpened(second);
                    second.handleLinkOpened(first);
                }
            }
        }
        time.after(LINK_CHECK_INTERVAL_MILLISECONDS, this::openLinks);
    }

    private boolean canReach(SimulatedProcess first, SimulatedProcess second) {
        return !isolatedNodes.contains(first.node) && !isolatedNodes.contains(second.node);
    }

    /** Removes the queue from the configuration of all entries, including those that start later. */
    void removeQueue() {
        routingTable = new RoutingTable(/* version= */ 2, List.of(), /* maximumBodyBytes= */ 100_000);
        processes.values().stream()
                .filter(process -> process.entry != null)
                .forEach(process -> process.loop.run(() -> process.entry.configure(routingTable)));
    }

    /** Returns the zones of the sidecars, which the operator can evacuate. */
    SimulatedZones zones() {
        return zones;
    }

    VirtualTime time() {
        return time;
    }

    MemoryStore store() {
        return store;
    }

    StartRecord recordOfStarts() {
        return recordOfStarts;
    }

    /** Returns the record of the links and frames between processes, by which frames can also be lost. */
    FrameTraffic traffic() {
        return traffic;
    }

    SimulatedUpstream upstream(int number) {
        return upstreams.get("sidecar-" + number);
    }

    EntryController entry(int number) {
        return processes.get("entry-" + number).entry;
    }

    SidecarController sidecar(int number) {
        return processes.get("sidecar-" + number).sidecar;
    }

    VirtualLoop loop(String node) {
        return processes.get(node).loop;
    }

    /** Cuts a process off from all other processes, but not from the store or its upstream. */
    void isolate(String node) {
        isolatedNodes.add(node);
        SimulatedProcess process = processes.get(node);
        time.after(LINK_TIMEOUT_MILLISECONDS, () -> {
            if (isolatedNodes.contains(node)) {
                closeLinks(process);
            }
        });
    }

    void reconnect(String node) {
        isolatedNodes.remove(node);
    }

    /** Kills a process; its peers see their links closed. */
    void kill(String node) {
        loop(node).kill();
        closeLinks(processes.get(node));
    }

    /** Closes the links of a process; they are opened again within 20 ms. */
    void closeLinksBriefly(String node) {
        closeLinks(processes.get(node));
    }

    private void closeLinks(SimulatedProcess process) {
        for (SimulatedProcess peer : List.copyOf(process.peers)) {
            peer.peers.remove(process);
            process.peers.remove(peer);
            peer.loop.run(() -> peer.handleLinkClosed(process));
            process.loop.run(() -> process.handleLinkClosed(peer));
        }
    }

    /** Restarts a killed process on its instance. */
    void restart(String node) {
        boolean killed = loop(node).isKilled();
        if (killed && upstreams.containsKey(node)) {
            startSidecar(node);
        } else if (killed) {
            startEntry(node);
        }
    }

    private void startEntry(String node) {
        SimulatedProcess process = new SimulatedProcess(node, new VirtualLoop(time, node));
        processes.put(node, process);
        zones.follow(process.loop, node, process.evacuations::update);
        process.createEntry();
    }

    private void startSidecar(String node) {
        SimulatedProcess process = new SimulatedProcess(node, new VirtualLoop(time, node));
        processes.put(node, process);
        process.sidecar = new SidecarController(
                process.loop,
                upstreams.get(node).portFor(process.loop),
                process,
                SidecarTimings.forLease(/* upstreamLeaseMilliseconds= */ 1_000),
                node,
                new ZoneStartGate(process.evacuations, zones.zoneOf(node)));
        zones.follow(process.loop, node, newZones -> {
            process.evacuations.update(newZones);
            process.sidecar.handleEvacuationChange();
        });
        process.sidecar.start();
        new ProcessRegistration(
                        store.viewFor(process.loop),
                        process.loop,
                        node,
                        earlierRecord -> new MemberRecord(
                                ProcessRole.SIDECAR,
                                node,
                                process.incarnation,
                                /* address= */ "",
                                zones.zoneOf(node),
                                Optional.of(upstreams.get(node).description())),
                        process.sidecar::setRegistration,
                        new StoreRetryBudget(process.loop, process.incarnation))
                .start();
    }

    /** Submits a job and returns the list to which its answers will be added. */
    List<CallerAnswers.Submission> submit(int entry, String job, JobPlan plan) {
        return submit(entry, job, plan, SampleJobs.QUEUE);
    }

    /** Submits a job to a queue with another policy. */
    List<CallerAnswers.Submission> submit(int entry, String job, JobPlan plan, QueuePolicy policy) {
        List<CallerAnswers.Submission> answers = new ArrayList<>();
        SimulatedProcess process = processes.get("entry-" + entry);
        process.loop.run(() -> process.entry.submit(job, plan, policy, answers::add));
        return answers;
    }

    /** Submits a job whose caller throws an unexpected exception when it is answered. */
    void submitWithFailingCaller(int entry, String job, JobPlan plan) {
        SimulatedProcess process = processes.get("entry-" + entry);
        process.loop.run(() -> process.entry.submit(job, plan, SampleJobs.QUEUE, answer -> {
            throw new IllegalStateException("caller of " + job);
        }));
    }

    /**
     * Queries an entry for the state of a job, and advances the time by 400 ms; returns null if it has not answered by
     * then.
     */
    CallerAnswers.Lookup lookUp(int entry, String job) {
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        SimulatedProcess process = processes.get("entry-" + entry);
        process.loop.run(() -> process.entry.lookUpState(job, answers::add));
        time.runUntil(time.now() + 400);
        return answers.isEmpty() ? null : answers.getFirst();
    }

    /** Returns how long each started run waited at its sidecar, in milliseconds. */
    List<Long> sidecarWaits() {
        return processes.values().stream()
                .flatMap(process -> process.loop.logLines().stream())
                .filter(line -> line.contains(" run-ordered "))
                .map(line -> Long.parseLong(line.replaceFirst(".* waited ([0-9]+) .*", "$1")))
                .toList();
    }

    /** Returns all log lines, for the message of a failed assertion. */
    String logLines() {
        List<String> all = new ArrayList<>();
        processes.values().forEach(process -> all.addAll(process.loop.logLines()));
        return String.join("\n", all);
    }

    private final class SimulatedProcess implements LinkPort, EntryHost {
        private final String node;
        private final VirtualLoop loop;
        private final Set<SimulatedProcess> peers = new HashSet<>();
        private final ZoneEvacuations evacuations;
        private String incarnation;
        private EntryController entry;
        private SidecarController sidecar;

        SimulatedProcess(String node, VirtualLoop loop) {
            this.node = node;
            this.loop = loop;
            this.evacuations = new ZoneEvacuations(loop);
            this.incarnation = node + "~" + ++incarnationCount;
        }

        void createEntry() {
            entry = new EntryController(
                    loop,
                    store.viewFor(loop),
                    new StoreRetryBudget(loop, incarnation),
                    this,
                    new EntryParameters(
                            node,
                            incarnation,
                            /* address= */ node + ":1",
                            /* finishedJobRetentionMilliseconds= */ 120_000),
                    this,
                    evacuations);
            entry.configure(routingTable);
            entry.start();
        }

        JobFrame.Hello hello() {
            return new JobFrame.Hello(
                    sidecar == null ? ProcessRole.ENTRY : ProcessRole.SIDECAR, node, incarnation, zones.zoneOf(node));
        }

        void handleLinkOpened(SimulatedProcess peer) {
            int link = traffic.linkNumber(incarnation, peer.incarnation);
            loop.run(() -> {
                traffic.recordKnownLink(incarnation, peer.incarnation, link);
                if (sidecar == null) {
                    entry.handleLinkOpened(peer.hello());
                } else {
                    sidecar.handleLinkOpened(peer.incarnation);
                }
            });
        }

        void handleLinkClosed(SimulatedProcess peer) {
            if (sidecar == null) {
                entry.handleLinkClosed(peer.hello());
            } else {
                sidecar.handleLinkClosed(peer.incarnation);
            }
        }

        @Override
        public void send(String to, JobFrame frame) {
            if (!traffic.recordFrame(incarnation, to, frame)) {
                return;
            }
            byte[] bytes = JobFrameCodec.encode(frame);
            for (SimulatedProcess peer : peers) {
                if (peer.incarnation.equals(to) && canReach(this, peer)) {
                    JobFrame.Hello from = hello();
                    int link = traffic.knownLinkNumber(incarnation, to);
                    time.after(
                            LINK_LATENCY_MILLISECONDS,
                            () -> peer.loop.run(() -> {
                                // Frames over a closed link, and those not read when it closes, are lost.
                                if (peers.contains(peer) && link == traffic.linkNumber(from.incarnation(), to)) {
                                    peer.handleReceived(from, bytes);
                                }
                            }));
                }
            }
        }

        private void handleReceived(JobFrame.Hello from, byte[] bytes) {
            JobFrame frame;
            try {
                frame = JobFrameCodec.decode(bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            if (sidecar == null) {
                entry.handleFrame(from, frame);
            } else {
                sidecar.handleFrame(from.incarnation(), frame);
            }
        }

        @Override
        public void connect(MemberRecord member) {}

        @Override
        public void disconnect(MemberRecord member) {}

        @Override
        public void handleDeclaredLost() {
            closeLinks(this);
            incarnation = node + "~" + ++incarnationCount;
            createEntry();
        }
    }
}
