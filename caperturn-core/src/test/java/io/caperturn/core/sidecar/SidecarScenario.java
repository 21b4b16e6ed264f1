package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Drives a {@link SidecarMachine} in virtual time and records its commands. */
final class SidecarScenario {
    static final ProcessId SELF = new ProcessId("sidecar", 7);
    static final ProcessId EARLIER_INCARNATION_OF_SELF = new ProcessId("sidecar", 6);
    static final ProcessId FIRST_ENTRY = new ProcessId("entry-1", 1);
    static final ProcessId SECOND_ENTRY = new ProcessId("entry-2", 1);
    static final SubmissionId JOB = new SubmissionId("team", "job");
    /** Time for which the ledger keeps a finished attempt, and maximum age of the claim of an accepted one. */
    static final Duration LEDGER_RETENTION = Duration.ofMinutes(10);

    static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofSeconds(3);
    /** Policy with one queued attempt for each slot, 100 ledger lines and 1,000 bytes of results. */
    static final SidecarPolicy POLICY = new SidecarPolicy(ANNOUNCEMENT_TIMEOUT, 1, LEDGER_RETENTION, 100, 1_000);

    private final SidecarMachine machine;
    private final List<SidecarMachineCommand> allCommands = new ArrayList<>();
    private final StringBuilder transcript = new StringBuilder();
    private List<SidecarMachineCommand> lastCommands = List.of();
    private Instant now = Instant.EPOCH;

    SidecarScenario(SidecarPolicy policy) {
        machine = new SidecarMachine(SELF, policy);
    }

    /**
     * Returns a scenario with two linked entry processes and an upstream that serves the kind "assay" with the given
     * slots.
     */
    static SidecarScenario withUpstreamOfSlots(int slots) {
        return withUpstreamOfSlots(slots, POLICY);
    }

    static SidecarScenario withUpstreamOfSlots(int slots, SidecarPolicy policy) {
        SidecarScenario scenario = new SidecarScenario(policy);
        scenario.announceSlotsAndConnections(slots, 64);
        scenario.send(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.send(new SidecarEvent.EntryLinked(SECOND_ENTRY));
        return scenario;
    }

    static UpstreamDescription upstreamWithSlotsAndConnections(int slots, int connections) {
        return new UpstreamDescription("upstream", Set.of("assay"), slots, connections, "worker", "rack", "zone-a");
    }

    /** Returns an attempt at a task; the fencing token of an idempotent task, which needs no claim, is 0. */
    static AttemptId attempt(int task, long fence, int attempt) {
        return new AttemptId(new TaskKey(JOB, "task-" + task), fence, attempt);
    }

    static TaskOutcome completed(String result) {
        return new TaskOutcome.Completed(result, Duration.ofMillis(50));
    }

    static AttemptState notStarted(NotStartedReason reason) {
        return new AttemptState.NotStarted(reason);
    }

    SidecarMachine machine() {
        return machine;
    }

    /** Sends an event to the machine and returns the commands that the machine returned. */
    List<SidecarMachineCommand> send(SidecarEvent event) {
        lastCommands = machine.handleEvent(event, now);
        allCommands.addAll(lastCommands);
        transcript
                .append(Duration.between(Instant.EPOCH, now))
                .append("  ")
                .append(event)
                .append('\n');
        lastCommands.forEach(
                command -> transcript.append("    ").append(command).append('\n'));
        return lastCommands;
    }

    /** Returns all events so far, each with its time and the commands that the machine returned. */
    String transcript() {
        return transcript.toString();
    }

    void advance(Duration duration) {
        now = now.plus(duration);
    }

    /** Advances the virtual time, announces the upstream and sends a timer event. */
    void advanceAndAnnounceSlots(Duration duration, int slots) {
        advance(duration);
        announceSlotsAndConnections(slots, 64);
        send(new SidecarEvent.Tick());
    }

    /** Announces an upstream that asks for work. */
    List<SidecarMachineCommand> announceSlotsAndConnections(int slots, int connections) {
        return send(new SidecarEvent.UpstreamAnnounced(
                upstreamWithSlotsAndConnections(slots, connections), /* leaving= */ false));
    }

    /** Dispatches attempts of an entry without demand. */
    List<SidecarMachineCommand> dispatch(ProcessId entry, AttemptId... attempts) {
        return dispatchWithDemand(entry, 0, attempts);
    }

    List<SidecarMachineCommand> dispatchWithDemand(ProcessId entry, int demand, AttemptId... attempts) {
        List<ReceivedDispatch> dispatches = Arrays.stream(attempts)
                .map(attempt -> receivedDispatch(attempt, "assay", Duration.ZERO))
                .toList();
        return send(new SidecarEvent.DispatchReceived(entry, SELF, dispatches, demand));
    }

    /** Dispatches attempt 1, with fencing token 1, at each of the tasks from 1 to the given number. */
    List<SidecarMachineCommand> dispatchTasksOneTo(ProcessId entry, int tasks) {
        return dispatch(
                entry,
                IntStream.rangeClosed(1, tasks)
                        .mapToObj(task -> attempt(task, 1, 1))
                        .toArray(AttemptId[]::new));
    }

    static ReceivedDispatch receivedDispatch(AttemptId attempt, String kind, Duration claimAge) {
        return new ReceivedDispatch(attempt, kind, "{}", claimAge, /* timeout= */ Duration.ofSeconds(5));
    }

    List<SidecarMachineCommand> completeRun(AttemptId attempt) {
        return send(new SidecarEvent.RunEnded(attempt, completed("{}")));
    }

    List<SidecarMachineCommand> resolve(ProcessId entry, AttemptId attempt) {
        return send(new SidecarEvent.ResolveReceived(entry, SELF, attempt));
    }

    /** Returns all started attempts, in order of their starts. */
    List<AttemptId> startedAttempts() {
        return allCommands.stream()
                .filter(SidecarMachineCommand.StartRun.class::isInstance)
                .map(command -> ((SidecarMachineCommand.StartRun) command).attempt())
                .toList();
    }

    /** Returns the reports to an entry that the last event caused. */
    List<AttemptReport> lastReportsTo(ProcessId entry) {
        return lastCommands.stream()
                .filter(SidecarMachineCommand.SendReports.class::isInstance)
                .map(SidecarMachineCommand.SendReports.class::cast)
                .filter(command -> command.entry().equals(entry))
                .flatMap(command -> command.reports().stream())
                .toList();
    }

    /** Returns the commands of one type that the last event caused. */
    <T extends SidecarMachineCommand> List<T> lastCommandsOfType(Class<T> type) {
        return lastCommands.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
