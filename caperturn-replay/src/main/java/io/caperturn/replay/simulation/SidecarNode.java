package io.caperturn.replay.simulation;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachine;
import io.caperturn.core.sidecar.SidecarPolicy;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** A sidecar in virtual time: the real decision logic beside an upstream of a speed and a slot count. */
final class SidecarNode {
    private static final double FAILURE_MILLISECONDS = 5;
    private static final double ABORT_MILLISECONDS = 1;

    private final int number;
    private final ProcessId id;
    private final EventLoop loop;
    private final SidecarMachine machine;
    private final UpstreamDescription upstream;
    private final Recorder recorder;
    private final BiConsumer<SidecarNode, SidecarMachineCommand> commands;
    private final Map<AttemptId, Run> runs = new HashMap<>();
    private double speed;
    private boolean failing;
    private boolean lost;

    SidecarNode(
            int number,
            EventLoop loop,
            int queuedPerSlot,
            UpstreamDescription upstream,
            double speed,
            Recorder recorder,
            BiConsumer<SidecarNode, SidecarMachineCommand> commands) {
        this.number = number;
        this.id = new ProcessId("sidecar-" + number, 1);
        this.loop = loop;
        this.machine = new SidecarMachine(
                id,
                new SidecarPolicy(
                        Duration.ofSeconds(3), queuedPerSlot, Duration.ofMinutes(10), 10_000_000, Long.MAX_VALUE / 2));
        this.upstream = upstream;
        this.speed = speed;
        this.recorder = recorder;
        this.commands = commands;
    }

    int number() {
        return number;
    }

    ProcessId id() {
        return id;
    }

    boolean lost() {
        return lost;
    }

    void multiplySpeed(double factor) {
        speed *= factor;
    }

    void failing(boolean fails) {
        failing = fails;
    }

    void announce() {
        on(new SidecarEvent.UpstreamAnnounced(upstream, false));
    }

    /** Ends the sidecar and its upstream with all that runs there. */
    void kill() {
        lost = true;
        runs.values().forEach(run -> recorder.ended(run.kind(), run.team(), loop.nowMilliseconds()));
        runs.clear();
        recorder.upstreamLost(loop.nowMilliseconds());
    }

    void on(SidecarEvent event) {
        if (lost) {
            return;
        }
        for (SidecarMachineCommand command : machine.on(event, loop.now())) {
            switch (command) {
                case SidecarMachineCommand.StartRun start -> start(start);
                case SidecarMachineCommand.AbortRun abort ->
                    loop.after(ABORT_MILLISECONDS, () -> end(abort.attempt(), "aborted"));
                default -> commands.accept(this, command);
            }
        }
    }

    private void start(SidecarMachineCommand.StartRun start) {
        AttemptId attempt = start.attempt();
        Run run = new Run(start.kind(), attempt.key().submission().team(), loop.now());
        runs.put(attempt, run);
        recorder.started(run.kind(), run.team(), loop.nowMilliseconds());
        commands.accept(this, start);
        boolean fails = failing;
        double needed = fails ? FAILURE_MILLISECONDS : Double.parseDouble(start.payload()) / speed;
        boolean timesOut = needed > start.timeout().toMillis();
        String timeout = timesOut ? "timed out" : "";
        String failure = fails ? "failed" : timeout;
        loop.after(timesOut ? start.timeout().toMillis() : needed, () -> end(attempt, failure));
    }

    private void end(AttemptId attempt, String failure) {
        Run run = runs.remove(attempt);
        if (run == null || lost) {
            return;
        }
        recorder.ended(run.kind(), run.team(), loop.nowMilliseconds());
        Duration service = Duration.between(run.since(), loop.now());
        TaskOutcome outcome = failure.isEmpty()
                ? new TaskOutcome.Completed("0", service)
                : new TaskOutcome.Failed(Execution.RAN, failure, service);
        on(new SidecarEvent.RunEnded(attempt, outcome));
    }

    /**
     * A task at the upstream.
     *
     * @param kind its kind
     * @param team its team
     * @param since when it started
     */
    private record Run(String kind, String team, Instant since) {}
}
