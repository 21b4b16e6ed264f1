package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import io.caperturn.core.schedule.FifoScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Drives an {@link EntryMachine} in virtual time and records its commands. */
final class EntryFixture {
    static final String KIND = "assay";
    static final SubmissionId JOB = new SubmissionId("lab", "job-1");
    static final ProcessId SIDECAR = new ProcessId("sidecar-1", 1);
    static final ProcessId OTHER_SIDECAR = new ProcessId("sidecar-2", 1);

    private static final Instant START_TIME = Instant.parse("2026-01-01T00:00:00Z");

    private final EntryMachine machine = new EntryMachine(new FifoScheduler(), EntryPolicy.DEFAULT);
    private final List<EntryMachineCommand> allCommands = new ArrayList<>();
    private final StringBuilder transcript = new StringBuilder();
    private Instant now = START_TIME;
    private long lastWaiter;

    EntryFixture() {
        KindRow row = new KindRow(
                KIND, /* weight= */ 1, Urgency.NORMAL, Limits.NONE, Duration.ofSeconds(10), /* rowVersion= */ 1);
        send(new EntryEvent.TableChanged(new Table(/* version= */ 1, Map.of(KIND, row), /* teams= */ Map.of())));
    }

    /** Returns all events so far, each with its time and the commands that the machine returned. */
    String transcript() {
        return transcript.toString();
    }

    Instant now() {
        return now;
    }

    /** Sends an event to the machine and returns the commands that the machine returned. */
    List<EntryMachineCommand> send(EntryEvent event) {
        List<EntryMachineCommand> next = machine.handleEvent(event, now);
        allCommands.addAll(next);
        transcript
                .append(Duration.between(START_TIME, now))
                .append("  ")
                .append(event)
                .append('\n');
        next.forEach(command -> transcript.append("    ").append(command).append('\n'));
        return next;
    }

    /** Advances the virtual time and sends a timer event. */
    void advance(Duration duration) {
        now = now.plus(duration);
        send(new EntryEvent.Tick());
    }

    /** Submits work, and returns the number of the client request that waits for its answer. */
    long submit(Submission submission) {
        lastWaiter++;
        send(new EntryEvent.SubmissionArrived(submission, lastWaiter));
        return lastWaiter;
    }

    void resubmit(Submission submission) {
        lastWaiter++;
        send(new EntryEvent.SubmissionArrived(submission, lastWaiter, /* resubmission= */ true));
    }

    long lastClaimRequest() {
        return commandsOfType(EntryMachineCommand.RequestClaim.class).getLast().request();
    }

    /** Grants the last requested claim, with fencing token 1. */
    void grantClaim() {
        send(new EntryEvent.ClaimSettled(JOB, new ClaimResult.Granted(/* fence= */ 1, lastClaimRequest())));
    }

    /**
     * Opens the link to a sidecar process; the window is the number of attempts that the entry process may have
     * outstanding there.
     */
    void linkSidecarWithWindow(ProcessId sidecar, int window) {
        UpstreamDescription upstream = new UpstreamDescription(
                "upstream of " + sidecar.name(), Set.of(KIND), /* slots= */ 8, /* connections= */ 64, "w", "r", "z");
        send(new EntryEvent.SidecarChanged(sidecar, upstream, /* serving= */ true, window));
    }

    /** Reports the state of an attempt, with a window of 8 attempts. */
    void report(ProcessId sidecar, AttemptId attempt, AttemptState state) {
        send(new EntryEvent.ReportsReceived(sidecar, List.of(new AttemptReport(attempt, state)), 8));
    }

    /** Returns a submission whose tasks t1, t2 and so on must not start twice. */
    Submission jobWithTasks(int tasks) {
        return submission(Repeatability.AT_MOST_ONCE, tasks, "digest");
    }

    Submission submission(Repeatability repeatability, int tasks, String digest) {
        List<TaskSpec> specs = IntStream.rangeClosed(1, tasks)
                .mapToObj(number -> new TaskSpec("t" + number, Optional.empty(), "{}"))
                .toList();
        return new Submission(JOB, KIND, Optional.empty(), repeatability, now.plusSeconds(60), digest, specs);
    }

    List<EntryMachineCommand.Dispatch> dispatches() {
        return commandsOfType(EntryMachineCommand.SendDispatches.class).stream()
                .flatMap(send -> send.dispatches().stream())
                .toList();
    }

    AttemptId lastAttempt() {
        return dispatches().getLast().attempt();
    }

    List<EntryMachineCommand.SendAnswer> answers() {
        return commandsOfType(EntryMachineCommand.SendAnswer.class);
    }

    <T extends EntryMachineCommand> List<T> commandsOfType(Class<T> type) {
        return allCommands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static AttemptState completed(String result) {
        return new AttemptState.Done(new TaskOutcome.Completed(result, Duration.ofMillis(50)));
    }
}
