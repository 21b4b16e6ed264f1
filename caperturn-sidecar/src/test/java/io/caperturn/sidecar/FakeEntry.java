package io.caperturn.sidecar;

import io.caperturn.core.model.ProcessId;
import io.caperturn.settings.LinkTimes;
import io.caperturn.wire.FrameStamp;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.LinkSettings;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.Peer;
import io.caperturn.wire.message.AttemptIdentity;
import io.caperturn.wire.message.Dispatch;
import io.caperturn.wire.message.DispatchBatch;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Report;
import io.caperturn.wire.message.Role;
import io.caperturn.wire.message.SubmissionIdentity;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Entry in the test's own process that accepts a sidecar's link and speaks the frames by hand. */
public final class FakeEntry implements LinkListener, FrameStamp, AutoCloseable {
    private static final LinkTimes SHORT_TIMES = new LinkTimes(200, 1_000, 50);
    private static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
    private static final long PATIENCE_SECONDS = 10;

    private final LinkEndpoint endpoint;
    private final String address;
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();
    private volatile long tableVersion;
    private Link link;

    /**
     * Starts it on a free port with short times.
     *
     * @param name its name
     * @throws IOException if it can't listen
     */
    public FakeEntry(String name) throws IOException {
        this(name, SHORT_TIMES);
    }

    /**
     * Starts it on a free port.
     *
     * @param name its name
     * @param times the times that its links keep to
     * @throws IOException if it can't listen
     */
    public FakeEntry(String name, LinkTimes times) throws IOException {
        endpoint = new LinkEndpoint(
                new LinkSettings(
                        new Peer(new ProcessId(name, 1), Role.ROLE_ENTRY, "zone-a", ""),
                        Duration.ofMillis(times.heartbeatIntervalMilliseconds()),
                        Duration.ofMillis(times.silenceTimeoutMilliseconds()),
                        Duration.ofMillis(times.reconnectDelayMilliseconds()),
                        MAXIMUM_FRAME_BYTES),
                this,
                this);
        address = "127.0.0.1:" + endpoint.listen("127.0.0.1", 0).getPort();
    }

    /**
     * Returns where it accepts links.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return address;
    }

    /**
     * Waits for the sidecar's link.
     *
     * @return the link
     * @throws InterruptedException if interrupted
     */
    public Link awaitLink() throws InterruptedException {
        link = opened.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        if (link == null) {
            throw new AssertionError("no link opened");
        }
        return link;
    }

    /**
     * Closes the link and waits for the sidecar's next one.
     *
     * @return the link that was closed
     * @throws InterruptedException if interrupted
     */
    public Link awaitLinkAfterClosing() throws InterruptedException {
        Link earlier = link;
        earlier.close();
        awaitLink();
        return earlier;
    }

    /**
     * Waits for a frame; those before it are dropped.
     *
     * @param wanted which
     * @return the frame
     * @throws InterruptedException if interrupted
     */
    public Frame await(Predicate<Frame> wanted) throws InterruptedException {
        List<Frame> seen = new ArrayList<>();
        Frame frame = frames.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        while (frame != null && !wanted.test(frame)) {
            seen.add(frame);
            frame = frames.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }
        if (frame == null) {
            throw new AssertionError("frame did not arrive; seen: " + seen);
        }
        return frame;
    }

    /**
     * Waits for a number of reports.
     *
     * @param count how many
     * @return the reports, in order
     * @throws InterruptedException if interrupted
     */
    public List<Report> awaitReports(int count) throws InterruptedException {
        List<Report> reports = new ArrayList<>();
        while (reports.size() < count) {
            reports.addAll(await(Frame::hasReportBatch).getReportBatch().getReportsList());
        }
        return reports;
    }

    /**
     * Dispatches a task of a job under fence 1.
     *
     * @param task the task
     * @param attempt the number of the attempt
     * @param timeout the longest time that it may run
     */
    public void dispatch(String task, int attempt, Duration timeout) {
        send(Frame.newBuilder()
                .setDispatchBatch(DispatchBatch.newBuilder()
                        .setAddressee(MessageCodec.toMessage(link.peer().process()))
                        .addDispatches(dispatchOf(task, attempt, timeout))));
    }

    /**
     * Dispatches tasks of a job in one frame.
     *
     * @param first the number of the first task
     * @param count how many tasks
     * @param demand how many more wait
     * @param timeout the longest time that each may run
     */
    public void dispatchTasks(int first, int count, int demand, Duration timeout) {
        DispatchBatch.Builder batch = DispatchBatch.newBuilder()
                .setAddressee(MessageCodec.toMessage(link.peer().process()))
                .setDemand(demand);
        for (int task = first; task < first + count; task++) {
            batch.addDispatches(dispatchOf("task-" + task, 1, timeout));
        }
        send(Frame.newBuilder().setDispatchBatch(batch));
    }

    /**
     * Names an attempt of a job under fence 1.
     *
     * @param task the task
     * @param attempt the number of the attempt
     * @return the message
     */
    public static AttemptIdentity attempt(String task, int attempt) {
        return AttemptIdentity.newBuilder()
                .setSubmission(SubmissionIdentity.newBuilder().setTeam("team").setKey("job"))
                .setTask(task)
                .setFence(1)
                .setAttempt(attempt)
                .build();
    }

    private static Dispatch.Builder dispatchOf(String task, int attempt, Duration timeout) {
        return Dispatch.newBuilder()
                .setAttempt(attempt(task, attempt))
                .setKind("assay")
                .setPayload("{\"task\":\"" + task + "\"}")
                .setTimeoutMilliseconds((int) timeout.toMillis());
    }

    /**
     * Sends a frame to the sidecar.
     *
     * @param frame the frame
     */
    public void send(Frame.Builder frame) {
        if (!link.send(frame)) {
            throw new AssertionError("link is closed");
        }
    }

    /**
     * Shows a table version on every frame from now on.
     *
     * @param version the version
     */
    public void showTableVersion(long version) {
        tableVersion = version;
    }

    @Override
    public long tableVersion() {
        return tableVersion;
    }

    @Override
    public long confirmationAgeMilliseconds() {
        return 0;
    }

    @Override
    public void observe(Link from, long version, long confirmationAgeMilliseconds) {
        // Nothing is learnt from sidecars here.
    }

    @Override
    public void onOpened(Link from) {
        opened.add(from);
    }

    @Override
    public void onFrame(Link from, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onClosed(Link from, String reason) {
        // The sidecar opens the next link by itself.
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
