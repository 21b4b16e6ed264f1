package io.caperturn.sidecar;

import io.caperturn.core.model.ProcessId;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.wire.Link;
import io.caperturn.wire.LinkEndpoint;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.LinkListener;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.Peer;
import io.caperturn.wire.TableVersionExchange;
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

/**
 * Fake entry (process that sends tasks to sidecars) that accepts the link (connection) of a sidecar, sends the frames
 * (messages) that a test asks for and records those received.
 *
 * <p>The fencing token is the number of the claim by which an entry owns a submission.
 */
public final class FakeWireEntry implements LinkListener, TableVersionExchange, AutoCloseable {
    private static final LinkTimeSettings SHORT_LINK_TIMES = new LinkTimeSettings(
            /* heartbeatIntervalMilliseconds= */ 200,
            /* silenceTimeoutMilliseconds= */ 1_000,
            /* reconnectDelayMilliseconds= */ 50);
    private static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
    private static final long WAIT_TIMEOUT_SECONDS = 10;

    private final LinkEndpoint endpoint;
    private final String address;
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> openedLinks = new LinkedBlockingQueue<>();
    private volatile long tableVersion;
    private Link link;

    /**
     * Starts an entry on a free port, with short link times.
     *
     * @param name the name of the entry
     * @throws IOException if it can't listen
     */
    public FakeWireEntry(String name) throws IOException {
        this(name, SHORT_LINK_TIMES);
    }

    /**
     * Starts an entry on a free port.
     *
     * @param name the name of the entry
     * @param times the intervals and time-outs of its links
     * @throws IOException if it can't listen
     */
    public FakeWireEntry(String name, LinkTimeSettings times) throws IOException {
        endpoint = new LinkEndpoint(
                new LinkEndpointSettings(
                        new Peer(
                                new ProcessId(name, /* incarnation= */ 1),
                                Role.ROLE_ENTRY,
                                "zone-a",
                                /* linkAddress= */ ""),
                        Duration.ofMillis(times.heartbeatIntervalMilliseconds()),
                        Duration.ofMillis(times.silenceTimeoutMilliseconds()),
                        Duration.ofMillis(times.reconnectDelayMilliseconds()),
                        MAXIMUM_FRAME_BYTES),
                this,
                this);
        address = "127.0.0.1:" + endpoint.listen("127.0.0.1", 0).getPort();
    }

    /**
     * Returns the address at which the entry accepts links.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return address;
    }

    /**
     * Waits until the sidecar opens a link.
     *
     * @return the link
     * @throws InterruptedException if interrupted
     */
    public Link awaitLink() throws InterruptedException {
        link = openedLinks.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (link == null) {
            throw new AssertionError("sidecar opened no link before the time-out");
        }
        return link;
    }

    /**
     * Closes the link and waits until the sidecar opens another.
     *
     * @return the link that was closed
     * @throws InterruptedException if interrupted
     */
    public Link reopenLink() throws InterruptedException {
        Link earlier = link;
        earlier.close();
        awaitLink();
        return earlier;
    }

    /**
     * Waits for a frame that matches, and drops the frames received before it.
     *
     * @param matches the condition for the frame
     * @return the frame
     * @throws InterruptedException if interrupted
     */
    public Frame awaitFrame(Predicate<Frame> matches) throws InterruptedException {
        List<Frame> received = new ArrayList<>();
        Frame frame = frames.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        while (frame != null && !matches.test(frame)) {
            received.add(frame);
            frame = frames.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        if (frame == null) {
            throw new AssertionError("expected frame was not received; received: " + received);
        }
        return frame;
    }

    /**
     * Waits for a number of reports.
     *
     * @param count the number of reports
     * @return the reports, in the order of arrival
     * @throws InterruptedException if interrupted
     */
    public List<Report> awaitReports(int count) throws InterruptedException {
        List<Report> reports = new ArrayList<>();
        while (reports.size() < count) {
            reports.addAll(awaitFrame(Frame::hasReportBatch).getReportBatch().getReportsList());
        }
        return reports;
    }

    /**
     * Dispatches a task of the submission {@code team/job} with fencing token 1.
     *
     * @param task the task
     * @param attempt the number of the attempt
     * @param timeout the time-out of the task
     */
    public void dispatch(String task, int attempt, Duration timeout) {
        send(Frame.newBuilder()
                .setDispatchBatch(DispatchBatch.newBuilder()
                        .setAddressee(MessageCodec.toMessage(link.peer().process()))
                        .addDispatches(dispatchMessage(task, attempt, timeout))));
    }

    /**
     * Dispatches tasks of the submission {@code team/job} in one frame.
     *
     * @param first the number of the first task
     * @param count the number of tasks
     * @param demand the number of further tasks that wait at the entry
     * @param timeout the time-out of each task
     */
    public void dispatchTasks(int first, int count, int demand, Duration timeout) {
        DispatchBatch.Builder batch = DispatchBatch.newBuilder()
                .setAddressee(MessageCodec.toMessage(link.peer().process()))
                .setDemand(demand);
        for (int task = first; task < first + count; task++) {
            batch.addDispatches(dispatchMessage("task-" + task, /* attempt= */ 1, timeout));
        }
        send(Frame.newBuilder().setDispatchBatch(batch));
    }

    /**
     * Returns the identity of an attempt of the submission {@code team/job} with fencing token 1.
     *
     * @param task the task
     * @param attempt the number of the attempt
     * @return the identity
     */
    public static AttemptIdentity attemptIdentity(String task, int attempt) {
        return AttemptIdentity.newBuilder()
                .setSubmission(SubmissionIdentity.newBuilder().setTeam("team").setKey("job"))
                .setTask(task)
                .setFence(1)
                .setAttempt(attempt)
                .build();
    }

    private static Dispatch.Builder dispatchMessage(String task, int attempt, Duration timeout) {
        return Dispatch.newBuilder()
                .setAttempt(attemptIdentity(task, attempt))
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
            throw new AssertionError("link to the sidecar is closed");
        }
    }

    /**
     * Sets the version of the operators' table of kinds and teams that every frame carries from now on.
     *
     * @param version the table version
     */
    public void setTableVersion(long version) {
        tableVersion = version;
    }

    @Override
    public long tableVersion() {
        return tableVersion;
    }

    @Override
    public long confirmationAgeMilliseconds() {
        // As if the store had just confirmed the table version.
        return 0;
    }

    @Override
    public void onTableVersion(Link from, long version, long confirmationAgeMilliseconds) {
        // Table versions of sidecars are ignored.
    }

    @Override
    public void onOpened(Link from) {
        openedLinks.add(from);
    }

    @Override
    public void onFrame(Link from, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void onClosed(Link from, String reason) {
        // The sidecar reconnects.
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
