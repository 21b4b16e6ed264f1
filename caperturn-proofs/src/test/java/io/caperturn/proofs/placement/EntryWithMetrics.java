package io.caperturn.proofs.placement;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RoutingTable;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.EntryController;
import io.caperturn.jobs.owner.EntryHost;
import io.caperturn.jobs.owner.EntryParameters;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.zone.EvacuatedZones;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.platform.MetricsListener;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Entry (process that accepts jobs) that serves its metrics address over HTTP. Its clock stands still, its store never
 * answers, and its frames to sidecars (processes beside upstreams) are recorded.
 */
final class EntryWithMetrics implements AutoCloseable {
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final List<String> dispatchedTo = new CopyOnWriteArrayList<>();
    private final EntryController controller;
    private final Channel listener;

    EntryWithMetrics() {
        DecisionLoop loop = new StandingLoop();
        ZoneEvacuations evacuations = new ZoneEvacuations(loop);
        evacuations.update(EvacuatedZones.NONE);
        controller = new EntryController(
                loop,
                new SilentStore(),
                new StoreRetryBudget(loop, "entry~1"),
                this::record,
                new EntryParameters("entry", "entry~1", "entry:1", /* finishedJobRetentionMilliseconds= */ 120_000),
                new IdleHost(),
                evacuations);
        run(() -> controller.configure(new RoutingTable(1, List.of(QUEUE), /* maximumBodyBytes= */ 100_000)));
        listener = MetricsListener.listenAtEntry(
                eventLoop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> "caperturn_test 1\n",
                () -> controller);
    }

    private void run(Runnable action) {
        eventLoop.submit(action).syncUninterruptibly();
    }

    private void record(String incarnation, JobFrame frame) {
        if (frame instanceof JobFrame.Dispatch) {
            dispatchedTo.add(incarnation.substring(0, incarnation.indexOf('~')));
        }
    }

    /** Returns the address at which metrics are served, {@code host:port}. */
    String address() {
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Adds a linked sidecar with free capacity, in thousandths of a core. */
    void addSidecar(String node, long freeProcessorMillis) {
        JobFrame.Hello hello = new JobFrame.Hello(ProcessRole.SIDECAR, node, node + "~1", /* zone= */ "");
        run(() -> controller.handleLinkOpened(hello));
        report(hello, freeProcessorMillis, /* waitingWork= */ 0);
    }

    /** Lets a sidecar report that it has no free capacity and work waiting, in thousandths of a core times ms. */
    void fill(String node, long waitingWork) {
        report(
                new JobFrame.Hello(ProcessRole.SIDECAR, node, node + "~1", /* zone= */ ""),
                /* freeProcessorMillis= */ 0,
                waitingWork);
    }

    private void report(JobFrame.Hello from, long freeProcessorMillis, long waitingWork) {
        JobFrame.Status status = new JobFrame.Status(
                /* usable= */ true,
                "service",
                new Resources(6_400, 32_768, 0),
                new Resources(freeProcessorMillis, 32_768, 0),
                waitingWork,
                /* runningTasks= */ 0,
                /* labels= */ List.of(),
                /* dispatchesSeen= */ 0,
                JobFrame.Status.NO_RENEWAL,
                /* coldMilliseconds= */ 0,
                /* crashes= */ List.of(),
                /* upstreamNumber= */ 1,
                /* awaitingDescription= */ false);
        run(() -> controller.handleFrame(from, status));
    }

    /** Submits a job of three tasks of 1.6 cores, for which its caller waits. */
    void submitThreeTasks() {
        StepPlan step = new StepPlan(3, new Resources(1_600, 64, 0), 100, List.of(), "", "", 0);
        JobPlan plan = new JobPlan(QUEUE.name(), "text", List.of(step), /* durable= */ false);
        run(() -> controller.submit("job", plan, QUEUE, answer -> {}));
    }

    /** Returns the nodes of the sidecars to which tasks were sent, in order. */
    List<String> dispatchedTo() {
        return List.copyOf(dispatchedTo);
    }

    /** Returns the body of the response to a GET request. */
    String fetch(String path) throws Exception {
        try (HttpClient client = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address() + path))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        }
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Loop whose clock stands still and that runs no delayed actions. */
    private static final class StandingLoop implements DecisionLoop, DecisionLog {
        @Override
        public long monotonicMilliseconds() {
            return 10_000;
        }

        @Override
        public long wallClockMilliseconds() {
            return 1_700_000_000_000L;
        }

        @Override
        public void after(long milliseconds, Runnable action) {}

        @Override
        public DecisionLog log() {
            return this;
        }

        @Override
        public void event(EventName name, Object... pairs) {}

        @Override
        public void count(String name) {}

        @Override
        public void duration(String name, long milliseconds) {}

        @Override
        public void level(String name, long value) {}
    }

    private static final class SilentStore implements RecordStore {
        @Override
        public void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver) {}

        @Override
        public void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver) {}

        @Override
        public void follow(String table, long afterVersion, long waitMilliseconds, Consumer<FollowOutcome> receiver) {}
    }

    private static final class IdleHost implements EntryHost {
        @Override
        public void connect(MemberRecord member) {}

        @Override
        public void disconnect(MemberRecord member) {}

        @Override
        public void handleDeclaredLost() {}
    }
}
