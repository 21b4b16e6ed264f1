package io.caperturn.jobs.simulation;

import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobFrameCodec;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.owner.EntryController;
import io.caperturn.jobs.owner.EntryHost;
import io.caperturn.jobs.owner.EntryParameters;
import io.caperturn.jobs.owner.ProcessRegistration;
import io.caperturn.jobs.upstream.SidecarController;
import io.caperturn.jobs.upstream.SidecarTimings;
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

/** Entries and sidecars with their upstreams, joined by links that take a millisecond and can be cut. */
final class SimulatedFleet {
    static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 5_000);

    private static final long LINK_MILLISECONDS = 1;
    private static final long BEAT_MILLISECONDS = 500;
    private static final long CONNECT_MILLISECONDS = 20;
    private static final long SILENCE_MILLISECONDS = 1_800;

    private final VirtualTime time = new VirtualTime();
    private final MemoryStore store = new MemoryStore(time);
    private final StartRecord record = new StartRecord();
    private final Map<String, Process> processes = new HashMap<>();
    private final Map<String, SimulatedUpstream> upstreams = new HashMap<>();
    private final Set<String> cut = new HashSet<>();
    private RoutingTable table = new RoutingTable(1, List.of(QUEUE), 100_000);
    private int lives;

    SimulatedFleet(int entries, int sidecars, ToLongFunction<TaskIdentity> durations) {
        for (int number = 0; number < entries; number++) {
            startEntry("entry-" + number);
        }
        for (int number = 0; number < sidecars; number++) {
            String node = "sidecar-" + number;
            upstreams.put(node, new SimulatedUpstream(time, "upstream-" + number, record, durations));
            startSidecar(node);
            beat(node);
        }
        connect();
        time.runUntil(1_500);
    }

    private void beat(String node) {
        Process process = processes.get(node);
        process.loop.run(() -> process.sidecar.handleAnnouncement(upstreams.get(node).announcement()));
        time.after(BEAT_MILLISECONDS, () -> beat(node));
    }

    /** Keeps a link between any two processes that reach each other, as the processes' link hubs do. */
    private void connect() {
        List<Process> all = new ArrayList<>(processes.values());
        for (Process one : all) {
            for (Process other : all) {
                boolean wanted = one.sidecar == null && (other.sidecar != null || one.node.compareTo(other.node) < 0);
                boolean reach = !one.loop.isDead() && !other.loop.isDead() && reaches(one, other);
                if (wanted && reach && !one.peers.contains(other)) {
                    one.peers.add(other);
                    other.peers.add(one);
                    one.linked(other);
                    other.linked(one);
                }
            }
        }
        time.after(CONNECT_MILLISECONDS, this::connect);
    }

    private boolean reaches(Process one, Process other) {
        return !cut.contains(one.node) && !cut.contains(other.node);
    }

    /** Drops the queue from the configuration of all entries, also of those that start later. */
    void dropQueue() {
        table = new RoutingTable(2, List.of(), 100_000);
        processes.values().stream()
                .filter(process -> process.entry != null)
                .forEach(process -> process.loop.run(() -> process.entry.configure(table)));
    }

    VirtualTime time() {
        return time;
    }

    MemoryStore store() {
        return store;
    }

    StartRecord record() {
        return record;
    }

    SimulatedUpstream upstream(int number) {
        return upstreams.get("sidecar-" + number);
    }

    EntryController entry(int number) {
        return processes.get("entry-" + number).entry;
    }

    VirtualLoop loop(String node) {
        return processes.get(node).loop;
    }

    /** Cuts a process off from all others, but not from the store or its upstream. */
    void cut(String node) {
        cut.add(node);
        Process process = processes.get(node);
        time.after(SILENCE_MILLISECONDS, () -> {
            if (cut.contains(node)) {
                unlink(process);
            }
        });
    }

    void heal(String node) {
        cut.remove(node);
    }

    /** Ends a process at once; its peers see their links closed. */
    void kill(String node) {
        Process process = processes.get(node);
        process.loop.kill();
        unlink(process);
    }

    /** Resets the links of a process, which are opened again soon. */
    void resetLinks(String node) {
        unlink(processes.get(node));
    }

    private void unlink(Process process) {
        for (Process peer : List.copyOf(process.peers)) {
            peer.peers.remove(process);
            process.peers.remove(peer);
            peer.loop.run(() -> peer.unlinked(process));
            process.loop.run(() -> process.unlinked(peer));
        }
    }

    /** Starts a process anew on its instance. */
    void restart(String node) {
        if (!processes.get(node).loop.isDead()) {
            return;
        }
        if (upstreams.containsKey(node)) {
            startSidecar(node);
        } else {
            startEntry(node);
        }
    }

    private void startEntry(String node) {
        Process process = new Process(node, new VirtualLoop(time, node));
        processes.put(node, process);
        process.begin();
    }

    private void startSidecar(String node) {
        Process process = new Process(node, new VirtualLoop(time, node));
        processes.put(node, process);
        process.sidecar = new SidecarController(
                process.loop, upstreams.get(node).of(process.loop), process, SidecarTimings.forLease(1_000));
        process.sidecar.start();
        new ProcessRegistration(
                        store.of(process.loop),
                        process.loop,
                        node,
                        before -> new MemberRecord(
                                ProcessRole.SIDECAR,
                                node,
                                process.incarnation,
                                "",
                                Optional.of(upstreams.get(node).description())),
                        process.sidecar::setRegistration)
                .start();
    }

    static JobPlan plan(int tasks, boolean durable) {
        return plan(tasks, durable, 300);
    }

    static JobPlan plan(int tasks, boolean durable, long estimate) {
        return new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(tasks, new Resources(1_600, 64, 0), estimate, List.of(), "", "", 0)),
                durable);
    }

    /** Hands a job in and gives the list to which the answers will be added. */
    List<CallerAnswers.Submission> submit(int entry, String job, JobPlan plan) {
        return submit(entry, job, plan, QUEUE);
    }

    /** Hands a job in to a queue of another policy. */
    List<CallerAnswers.Submission> submit(int entry, String job, JobPlan plan, QueuePolicy policy) {
        List<CallerAnswers.Submission> answers = new ArrayList<>();
        Process process = processes.get("entry-" + entry);
        process.loop.run(() -> process.entry.submit(job, plan, policy, answers::add));
        return answers;
    }

    /** Asks an entry for a job's state, and lets time pass until it answers. */
    CallerAnswers.Lookup lookUp(int entry, String job) {
        List<CallerAnswers.Lookup> answers = new ArrayList<>();
        Process process = processes.get("entry-" + entry);
        process.loop.run(() -> process.entry.lookUp(job, answers::add));
        time.runUntil(time.now() + 400);
        return answers.isEmpty() ? null : answers.getFirst();
    }

    /** Gives how long each run that was started waited at its sidecar, in milliseconds. */
    List<Long> waitsAtSidecars() {
        return processes.values().stream()
                .flatMap(process -> process.loop.lines().stream())
                .filter(line -> line.contains(" run-ordered "))
                .map(line -> Long.parseLong(line.replaceFirst(".* waited ([0-9]+) .*", "$1")))
                .toList();
    }

    /** All log lines, for the message of a test that fails. */
    String lines() {
        List<String> all = new ArrayList<>();
        processes.values().forEach(process -> all.addAll(process.loop.lines()));
        return String.join("\n", all);
    }

    private final class Process implements LinkPort, EntryHost {
        private final String node;
        private final VirtualLoop loop;
        private final Set<Process> peers = new HashSet<>();
        private String incarnation;
        private EntryController entry;
        private SidecarController sidecar;

        Process(String node, VirtualLoop loop) {
            this.node = node;
            this.loop = loop;
            this.incarnation = node + "~" + ++lives;
        }

        void begin() {
            entry = new EntryController(
                    loop, store.of(loop), this, new EntryParameters(node, incarnation, node + ":1", 120_000), this);
            entry.configure(table);
            entry.start();
        }

        JobFrame.Hello hello() {
            return new JobFrame.Hello(sidecar == null ? ProcessRole.ENTRY : ProcessRole.SIDECAR, node, incarnation);
        }

        void linked(Process peer) {
            loop.run(() -> {
                if (sidecar == null) {
                    entry.handleLinkOpened(peer.hello());
                } else {
                    sidecar.handleLinkOpened(peer.incarnation);
                }
            });
        }

        void unlinked(Process peer) {
            if (sidecar == null) {
                entry.handleLinkClosed(peer.hello());
            } else {
                sidecar.handleLinkClosed(peer.incarnation);
            }
        }

        @Override
        public void send(String to, JobFrame frame) {
            byte[] bytes = JobFrameCodec.encode(frame);
            for (Process peer : peers) {
                if (peer.incarnation.equals(to) && reaches(this, peer)) {
                    JobFrame.Hello from = hello();
                    time.after(LINK_MILLISECONDS, () -> peer.loop.run(() -> peer.received(from, bytes)));
                }
            }
        }

        private void received(JobFrame.Hello from, byte[] bytes) {
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
        public void declaredLost() {
            unlink(this);
            incarnation = node + "~" + ++lives;
            begin();
        }
    }
}
