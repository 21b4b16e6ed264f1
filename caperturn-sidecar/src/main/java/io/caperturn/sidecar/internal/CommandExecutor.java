package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarEvent;
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
 * Executor of the machine's commands: frames to entries and runs at the upstream.
 *
 * <p>Reports to one entry that arise in one batch of events share a frame; none waits beyond the batch. Confined to the
 * machine's thread.
 */
final class CommandExecutor {
    private static final System.Logger LOGGER = System.getLogger(CommandExecutor.class.getName());

    private static final int FRAME_TARGET_BYTES = 4 * 1024 * 1024;

    private final LinkService links;
    private final UpstreamClient upstream;
    private final SidecarMeters meters;
    private final MachineService machine;
    private final Map<ProcessId, Pending> pending = new LinkedHashMap<>();

    CommandExecutor(LinkService links, UpstreamClient upstream, SidecarMeters meters, MachineService machine) {
        this.links = links;
        this.upstream = upstream;
        this.meters = meters;
        this.machine = machine;
    }

    void execute(SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun run -> startRun(run);
            case SidecarMachineCommand.AbortRun(AttemptId attempt) -> {
                log(lineOf("attempt-abort", attempt));
                upstream.cancel(attempt);
            }
            case SidecarMachineCommand.SendReports reports -> gather(reports);
            case SidecarMachineCommand.SendResolved resolved -> {
                log(lineOf("attempt-resolved", resolved.attempt()).with("state", nameOf(resolved.state())));
                send(
                        resolved.entry(),
                        Frame.newBuilder()
                                .setResolved(Resolved.newBuilder()
                                        .setAttempt(MessageCodec.toMessage(resolved.attempt()))
                                        .setState(MessageCodec.toMessage(resolved.state()))));
            }
            case SidecarMachineCommand.SendFenced fenced ->
                send(
                        fenced.entry(),
                        Frame.newBuilder()
                                .setFenced(Fenced.newBuilder()
                                        .setSubmission(MessageCodec.toMessage(fenced.submission()))
                                        .setFence(fenced.fence())
                                        .addAllReports(MessageCodec.toMessages(fenced.reports()))));
            case SidecarMachineCommand.SendWindow(ProcessId entry, int window) ->
                send(entry, Frame.newBuilder().setWindow(Window.newBuilder().setWindow(window)));
            case SidecarMachineCommand.SendUpstream told ->
                send(
                        told.entry(),
                        Frame.newBuilder()
                                .setUpstream(MessageCodec.toMessage(told.upstream(), told.serving(), told.window())));
            case SidecarMachineCommand.Drained() -> {
                flush();
                log(EventLine.of("drained"));
                machine.noteDrained();
            }
        }
    }

    /** Sends the reports that were gathered. */
    void flush() {
        pending.forEach((entry, gathered) -> sendReports(entry, gathered));
        pending.clear();
    }

    private void startRun(SidecarMachineCommand.StartRun run) {
        log(lineOf("attempt-started", run.attempt()).with("kind", run.kind()));
        upstream.start(run, outcome -> {
            meters.runEnded(run.kind(), outcome);
            logEnd(run.attempt(), outcome);
            machine.post(new SidecarEvent.RunEnded(run.attempt(), outcome));
        });
    }

    private void gather(SidecarMachineCommand.SendReports reports) {
        for (AttemptReport report : reports.reports()) {
            if (report.state() instanceof AttemptState.NotStarted notStarted) {
                meters.notStarted(notStarted.reason().name().toLowerCase(Locale.ROOT));
                log(lineOf("attempt-not-started", report.attempt()).with("reason", notStarted.reason()));
            }
        }
        pending.computeIfAbsent(reports.entry(), ignored -> new Pending()).add(reports);
    }

    private void sendReports(ProcessId entry, Pending gathered) {
        ReportBatch.Builder batch = ReportBatch.newBuilder().setWindow(gathered.window);
        long bytes = 0;
        for (Report report : MessageCodec.toMessages(gathered.reports)) {
            if (bytes + report.getSerializedSize() > FRAME_TARGET_BYTES && bytes > 0) {
                transmit(entry, Frame.newBuilder().setReportBatch(batch));
                batch = ReportBatch.newBuilder().setWindow(gathered.window);
                bytes = 0;
            }
            batch.addReports(report);
            bytes += report.getSerializedSize();
        }
        transmit(entry, Frame.newBuilder().setReportBatch(batch));
    }

    /** Sends a frame after the reports that were gathered for the same entry. */
    private void send(ProcessId entry, Frame.Builder frame) {
        Pending gathered = pending.remove(entry);
        if (gathered != null) {
            sendReports(entry, gathered);
        }
        transmit(entry, frame);
    }

    private void transmit(ProcessId entry, Frame.Builder frame) {
        String body = frame.getBodyCase().name().toLowerCase(Locale.ROOT);
        if (links.send(entry, frame)) {
            meters.frameSent(body);
        } else {
            LOGGER.log(
                    System.Logger.Level.DEBUG,
                    () -> EventLine.of("frame-not-sent")
                            .with("entry", entry)
                            .with("body", body)
                            .toString());
        }
    }

    private static void logEnd(AttemptId attempt, TaskOutcome outcome) {
        EventLine line = lineOf("attempt-ended", attempt);
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

    private static EventLine lineOf(String event, AttemptId attempt) {
        return EventLine.of(event)
                .with("team", attempt.key().submission().team())
                .with("submission", attempt.key().submission().key())
                .with("task", attempt.key().task())
                .with("attempt", attempt.fence() + "." + attempt.attempt());
    }

    private static String nameOf(AttemptState state) {
        return state.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }

    private static void log(EventLine line) {
        LOGGER.log(System.Logger.Level.INFO, line.toString());
    }

    /** Reports gathered for one entry. */
    private static final class Pending {
        private final List<AttemptReport> reports = new ArrayList<>();
        private int window;

        private void add(SidecarMachineCommand.SendReports more) {
            reports.addAll(more.reports());
            window = more.window();
        }
    }
}
