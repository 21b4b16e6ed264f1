package io.caperturn.replay.simulation;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachine;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarPolicy;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Simulated sidecar (process that starts tasks at one upstream), which runs the real decision logic in virtual time,
 * with a simulated upstream.
 */
final class SimulatedSidecar {
    private static final double FAILING_RUN_MILLISECONDS = 5;
    private static final double ABORT_DELAY_MILLISECONDS = 1;

    private final int number;
    private final ProcessId id;
    private final VirtualTimeLoop loop;
    private final SidecarMachine machine;
    private final UpstreamDescription upstream;
    private final ReplayStatistics statistics;
    private final BiConsumer<SimulatedSidecar, SidecarMachineCommand> commandHandler;
    private final Map<AttemptId, Run> runs = new HashMap<>();
    private double speed;
    private boolean failing;
    private boolean lost;

    SimulatedSidecar(
            int number,
            VirtualTimeLoop loop,
            int queuedPerSlot,
            UpstreamDescription upstream,
            double speed,
            ReplayStatistics statistics,
            BiConsumer<SimulatedSidecar, SidecarMachineCommand> commandHandler) {
        this.number = number;
        this.id = new ProcessId("sidecar-" + number, /* incarnation= */ 1);
        this.loop = loop;
        // The ledger (record of attempts) keeps finished attempts for 10 min and has no practical bound.
        this.machine = new SidecarMachine(
                id,
                new SidecarPolicy(
                        /* announcementTimeout= */ Duration.ofSeconds(3),
                        queuedPerSlot,
                        Duration.ofMinutes(10),
                        /* maximumLedgerLines= */ 10_000_000,
                        /* maximumResultBytes= */ Long.MAX_VALUE / 2));
        this.upstream = upstream;
        this.speed = speed;
        this.statistics = statistics;
        this.commandHandler = commandHandler;
    }

    int number() {
        return number;
    }

    ProcessId id() {
        return id;
    }

    boolean isLost() {
        return lost;
    }

    void multiplySpeed(double factor) {
        speed *= factor;
    }

    void setFailing(boolean fails) {
        failing = fails;
    }

    void announce() {
        handleEvent(new SidecarEvent.UpstreamAnnounced(upstream, /* leaving= */ false));
    }

    /** Stops the sidecar and its upstream for good; the running tasks are lost. */
    void kill() {
        lost = true;
        runs.values().forEach(run -> statistics.recordCompletion(run.kind(), run.team(), loop.currentMilliseconds()));
        runs.clear();
        statistics.recordUpstreamLoss(loop.currentMilliseconds());
    }

    void handleEvent(SidecarEvent event) {
        if (lost) {
            return;
        }
        for (SidecarMachineCommand command : machine.handleEvent(event, loop.currentTime())) {
            switch (command) {
                case SidecarMachineCommand.StartRun start -> startRun(start);
                case SidecarMachineCommand.AbortRun abort ->
                    loop.scheduleAfter(ABORT_DELAY_MILLISECONDS, () -> finishRun(abort.attempt(), "aborted"));
                default -> commandHandler.accept(this, command);
            }
        }
    }

    private void startRun(SidecarMachineCommand.StartRun start) {
        AttemptId attempt = start.attempt();
        Run run = new Run(start.kind(), attempt.key().submission().team(), loop.currentTime());
        runs.put(attempt, run);
        statistics.recordStart(run.kind(), run.team(), loop.currentMilliseconds());
        commandHandler.accept(this, start);
        // The payload of a simulated task is its run time in milliseconds at an upstream of speed 1.
        boolean isFailingRun = failing;
        double runMilliseconds = isFailingRun ? FAILING_RUN_MILLISECONDS : Double.parseDouble(start.payload()) / speed;
        boolean timesOut = runMilliseconds > start.timeout().toMillis();
        String timeoutFailure = timesOut ? "timed out" : "";
        String failure = isFailingRun ? "failed" : timeoutFailure;
        loop.scheduleAfter(timesOut ? start.timeout().toMillis() : runMilliseconds, () -> finishRun(attempt, failure));
    }

    /** Reports the outcome of a run; an empty failure means that the task completed. */
    private void finishRun(AttemptId attempt, String failure) {
        Run run = runs.remove(attempt);
        if (run == null || lost) {
            return;
        }
        statistics.recordCompletion(run.kind(), run.team(), loop.currentMilliseconds());
        Duration serviceTime = Duration.between(run.startedAt(), loop.currentTime());
        TaskOutcome outcome = failure.isEmpty()
                ? new TaskOutcome.Completed("0", serviceTime)
                : new TaskOutcome.Failed(Execution.RAN, failure, serviceTime);
        handleEvent(new SidecarEvent.RunEnded(attempt, outcome));
    }

    /**
     * Running attempt of a task.
     *
     * @param kind the kind of task
     * @param team the team of the submission
     * @param startedAt the time of the start
     */
    private record Run(String kind, String team, Instant startedAt) {}
}
