package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.kernel.EventLine;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.message.Fenced;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Report;
import io.caperturn.wire.message.ReportBatch;
import io.caperturn.wire.message.Resolved;
import io.caperturn.wire.message.Window;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Executes the commands of the {@link io.caperturn.core.sidecar.SidecarMachine}: sends frames (messages) to entry
 * processes, and starts and aborts runs at the upstream. A run is the execution of one attempt at a task.
 *
 * <p>Reports to one entry that result from one batch of events share a frame, sent at the end of the batch at the
 * latest. Each report frame carries the entry's window, the maximum number of attempts that the entry may have
 * outstanding at this sidecar. A fenced frame confirms that tasks of a submission are refused from entries that owned
 * it under a lower fencing token. A resolved frame answers an entry's query for the state of an attempt.
 *
 * <p>Not thread-safe: used by the thread of the machine only.
 */
final class SidecarCommandExecutor {
    private static final System.Logger LOGGER = System.getLogger(SidecarCommandExecutor.class.getName());

    /** Size above which the reports to one entry are split into several frames, in bytes. */
    private static final int FRAME_TARGET_BYTES = 4 * 1024 * 1024;

    private final SidecarLinkService links;
    private final UpstreamClient upstream;
    private final SidecarMeters meters;
    private final SidecarMachineService machine;
    private final Map<ProcessId, PendingReports> pendingReports = new LinkedHashMap<>();

    SidecarCommandExecutor(
            SidecarLinkService links, UpstreamClient upstream, SidecarMeters meters, SidecarMachineService machine) {
        this.links = links;
        this.upstream = upstream;
        this.meters = meters;
        this.machine = machine;
    }

    void execute(SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun run -> startRun(run);
            case SidecarMachineCommand.AbortRun(AttemptId attempt) -> {
                log(attemptLine("attempt-abort", attempt));
                upstream.cancel(attempt);
            }
            case SidecarMachineCommand.SendReports send -> queueReports(send);
            case SidecarMachineCommand.SendResolved resolved -> {
                log(attemptLine("attempt-resolved", resolved.attempt()).with("state", stateLabel(resolved.state())));
                sendAfterReports(
                        resolved.entry(),
                        Frame.newBuilder()
                                .setResolved(Resolved.newBuilder()
                                        .setAttempt(MessageCodec.toMessage(resolved.attempt()))
                                        .setState(MessageCodec.toMessage(resolved.state()))));
            }
            case SidecarMachineCommand.SendFenced fenced ->
                sendAfterReports(
                        fenced.entry(),
                        Frame.newBuilder()
                                .setFenced(Fenced.newBuilder()
                                        .setSubmission(MessageCodec.toMessage(fenced.submission()))
                                        .setFence(fenced.fence())
                                        .addAllReports(MessageCodec.toMessages(fenced.reports()))));
            case SidecarMachineCommand.SendWindow(ProcessId entry, int window) ->
                sendAfterReports(
                        entry, Frame.newBuilder().setWindow(Window.newBuilder().setWindow(window)));
            case SidecarMachineCommand.SendUpstream send ->
                sendAfterReports(
                        send.entry(),
                        Frame.newBuilder()
                                .setUpstream(MessageCodec.toMessage(send.upstream(), send.serving(), send.window())));
            case SidecarMachineCommand.Drained() -> {
                flushReports();
                log(EventLine.of("drained"));
                machine.completeDrain();
            }
        }
    }

    /** Sends the pending reports of all entries. */
    void flushReports() {
        pendingReports.forEach((entry, pending) -> sendReports(entry, pending));
        pendingReports.clear();
    }

    private void startRun(SidecarMachineCommand.StartRun run) {
        log(attemptLine("attempt-started", run.attempt()).with("kind", run.kind()));
        upstream.start(run, outcome -> {
            meters.recordRun(run.kind(), outcome);
            logOutcome(run.attempt(), outcome);
            machine.post(new SidecarEvent.RunEnded(run.attempt(), outcome));
        });
    }

    private void queueReports(SidecarMachineCommand.SendReports command) {
        for (AttemptReport report : command.reports()) {
            if (report.state() instanceof AttemptState.NotStarted notStarted) {
                meters.countNotStarted(notStarted.reason().name().toLowerCase(Locale.ROOT));
                log(attemptLine("attempt-not-started", report.attempt()).with("reason", notStarted.reason()));
            }
        }
        pendingReports
                .computeIfAbsent(command.entry(), ignored -> new PendingReports())
                .add(command);
    }

    private void sendReports(ProcessId entry, PendingReports pending) {
        ReportBatch.Builder batch = ReportBatch.newBuilder().setWindow(pending.window);
        long bytes = 0;
        for (Report report : MessageCodec.toMessages(pending.reports)) {
            if (bytes + report.getSerializedSize() > FRAME_TARGET_BYTES && bytes > 0) {
                sendNow(entry, Frame.newBuilder().setReportBatch(batch));
                batch = ReportBatch.newBuilder().setWindow(pending.window);
                bytes = 0;
            }
            batch.addReports(report);
            bytes += report.getSerializedSize();
        }
        sendNow(entry, Frame.newBuilder().setReportBatch(batch));
    }

    /** Sends a frame after the pending reports for the same entry. */
    private void sendAfterReports(ProcessId entry, Frame.Builder frame) {
        PendingReports pending = pendingReports.remove(entry);
        if (pending != null) {
            sendReports(entry, pending);
        }
        sendNow(entry, frame);
    }

    private void sendNow(ProcessId entry, Frame.Builder frame) {
        String bodyName = frame.getBodyCase().name().toLowerCase(Locale.ROOT);
        if (links.send(entry, frame)) {
            meters.countFrameSent(bodyName);
        } else {
            LOGGER.log(
                    System.Logger.Level.DEBUG,
                    () -> EventLine.of("frame-not-sent")
                            .with("entry", entry)
                            .with("body", bodyName)
                            .toString());
        }
    }

    private static void logOutcome(AttemptId attempt, TaskOutcome outcome) {
        EventLine line = attemptLine("attempt-ended", attempt);
        switch (outcome) {
            case TaskOutcome.Completed completed ->
                line.with("outcome", "completed")
                        .with("milliseconds", completed.serviceTime().toMillis());
            case TaskOutcome.Failed failed ->
                line.with("outcome", "failed")
                        .with("execution", failed.execution().label())
                        .with("reason", failed.reason())
                        .with("milliseconds", failed.serviceTime().toMillis());
        }
        log(line);
    }

    private static EventLine attemptLine(String event, AttemptId attempt) {
        return EventLine.of(event)
                .with("team", attempt.key().submission().team())
                .with("submission", attempt.key().submission().key())
                .with("task", attempt.key().task())
                .with("attempt", attempt.fence() + "." + attempt.attempt());
    }

    private static String stateLabel(AttemptState state) {
        return state.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }

    private static void log(EventLine line) {
        LOGGER.log(System.Logger.Level.INFO, line.toString());
    }

    /** Reports that wait to be sent to one entry, and the window sent with them. */
    private static final class PendingReports {
        private final List<AttemptReport> reports = new ArrayList<>();
        private int window;

        private void add(SidecarMachineCommand.SendReports command) {
            reports.addAll(command.reports());
            window = command.window();
        }
    }
}
