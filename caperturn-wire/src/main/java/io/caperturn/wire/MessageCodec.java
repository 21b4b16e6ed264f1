package io.caperturn.wire;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.wire.message.AttemptIdentity;
import io.caperturn.wire.message.ProcessIdentity;
import io.caperturn.wire.message.Report;
import io.caperturn.wire.message.State;
import io.caperturn.wire.message.SubmissionIdentity;
import io.caperturn.wire.message.Upstream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;

/**
 * Conversion between protobuf messages and the records of processes, attempts and upstreams; an attempt is one try to
 * run a task at an upstream.
 *
 * <p>Methods that read a message throw {@link IllegalArgumentException} if a field is out of its range; the caller
 * treats such a message as malformed.
 */
public final class MessageCodec {
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
    private static final long MAXIMUM_UNSIGNED_INT = 0xFFFF_FFFFL;

    private MessageCodec() {}

    /**
     * Converts a process identity to a message.
     *
     * @param process the identity
     * @return the message
     */
    public static ProcessIdentity toMessage(ProcessId process) {
        return ProcessIdentity.newBuilder()
                .setName(process.name())
                .setIncarnation(process.incarnation())
                .build();
    }

    /**
     * Converts a message to a process identity.
     *
     * @param message the message
     * @return the identity
     */
    public static ProcessId fromMessage(ProcessIdentity message) {
        return new ProcessId(message.getName(), message.getIncarnation());
    }

    /**
     * Converts a submission identity to a message.
     *
     * @param submission the identity
     * @return the message
     */
    public static SubmissionIdentity toMessage(SubmissionId submission) {
        return SubmissionIdentity.newBuilder()
                .setTeam(submission.team())
                .setKey(submission.key())
                .build();
    }

    /**
     * Converts a message to a submission identity.
     *
     * @param message the message
     * @return the identity
     */
    public static SubmissionId fromMessage(SubmissionIdentity message) {
        return new SubmissionId(message.getTeam(), message.getKey());
    }

    /**
     * Converts an attempt identity to a message.
     *
     * @param attempt the identity
     * @return the message
     */
    public static AttemptIdentity toMessage(AttemptId attempt) {
        return AttemptIdentity.newBuilder()
                .setSubmission(toMessage(attempt.key().submission()))
                .setTask(attempt.key().task())
                .setFence(attempt.fence())
                .setAttempt(attempt.attempt())
                .build();
    }

    /**
     * Converts a message to an attempt identity.
     *
     * @param message the message
     * @return the identity
     */
    public static AttemptId fromMessage(AttemptIdentity message) {
        TaskKey key = new TaskKey(fromMessage(message.getSubmission()), message.getTask());
        return new AttemptId(key, message.getFence(), message.getAttempt());
    }

    /**
     * Converts an attempt's state to a message.
     *
     * @param state the state
     * @return the message
     */
    public static State toMessage(AttemptState state) {
        State.Builder builder = State.newBuilder();
        switch (state) {
            case AttemptState.Queued() -> builder.setQueued(State.Queued.getDefaultInstance());
            case AttemptState.Running() -> builder.setRunning(State.Running.getDefaultInstance());
            case AttemptState.NotStarted(NotStartedReason reason) ->
                builder.setNotStarted(State.NotStarted.newBuilder().setReason(reason.name()));
            case AttemptState.Done(TaskOutcome.Completed(String result, Duration serviceTime)) ->
                builder.setCompleted(State.Completed.newBuilder()
                        .setResult(result)
                        .setServiceTimeMicroseconds(toMicroseconds(serviceTime)));
            case AttemptState.Done(TaskOutcome.Failed(Execution execution, String reason, Duration serviceTime)) ->
                builder.setFailed(State.Failed.newBuilder()
                        .setExecution(toMessage(execution))
                        .setReason(reason)
                        .setServiceTimeMicroseconds(toMicroseconds(serviceTime)));
        }
        return builder.build();
    }

    /**
     * Converts a message to an attempt's state.
     *
     * @param message the message
     * @return the state
     */
    public static AttemptState fromMessage(State message) {
        return switch (message.getStateCase()) {
            case QUEUED -> new AttemptState.Queued();
            case RUNNING -> new AttemptState.Running();
            case COMPLETED ->
                new AttemptState.Done(new TaskOutcome.Completed(
                        message.getCompleted().getResult(),
                        fromMicroseconds(message.getCompleted().getServiceTimeMicroseconds())));
            case FAILED ->
                new AttemptState.Done(new TaskOutcome.Failed(
                        fromMessage(message.getFailed().getExecution()),
                        message.getFailed().getReason(),
                        fromMicroseconds(message.getFailed().getServiceTimeMicroseconds())));
            case NOT_STARTED ->
                new AttemptState.NotStarted(
                        NotStartedReason.valueOf(message.getNotStarted().getReason()));
            case STATE_NOT_SET -> throw new IllegalArgumentException("no state is given");
        };
    }

    /**
     * Converts reports to messages.
     *
     * @param reports the reports
     * @return the messages, in the same order
     */
    public static List<Report> toMessages(List<AttemptReport> reports) {
        return reports.stream()
                .map(report -> Report.newBuilder()
                        .setAttempt(toMessage(report.attempt()))
                        .setState(toMessage(report.state()))
                        .build())
                .toList();
    }

    /**
     * Converts messages to reports.
     *
     * @param messages the messages
     * @return the reports, in the same order
     */
    public static List<AttemptReport> fromMessages(List<Report> messages) {
        return messages.stream()
                .map(message -> new AttemptReport(fromMessage(message.getAttempt()), fromMessage(message.getState())))
                .toList();
    }

    /**
     * Converts what is known about whether a task has run to its message value.
     *
     * @param execution what is known about whether the task has run
     * @return the message value
     */
    public static io.caperturn.wire.message.Execution toMessage(Execution execution) {
        return switch (execution) {
            case NOT_RUN -> io.caperturn.wire.message.Execution.EXECUTION_NOT_RUN;
            case ATTEMPT_NOT_RUN -> io.caperturn.wire.message.Execution.EXECUTION_ATTEMPT_NOT_RUN;
            case MAY_HAVE_RUN -> io.caperturn.wire.message.Execution.EXECUTION_MAY_HAVE_RUN;
            case RAN -> io.caperturn.wire.message.Execution.EXECUTION_RAN;
        };
    }

    /**
     * Converts a message value to what is known about whether a task has run; an unknown value becomes
     * {@link Execution#MAY_HAVE_RUN}.
     *
     * @param message the message value
     * @return what is known about whether the task has run
     */
    public static Execution fromMessage(io.caperturn.wire.message.Execution message) {
        return switch (message) {
            case EXECUTION_NOT_RUN -> Execution.NOT_RUN;
            case EXECUTION_ATTEMPT_NOT_RUN -> Execution.ATTEMPT_NOT_RUN;
            case EXECUTION_RAN -> Execution.RAN;
            case EXECUTION_MAY_HAVE_RUN, EXECUTION_UNSPECIFIED, UNRECOGNIZED -> Execution.MAY_HAVE_RUN;
        };
    }

    /**
     * Converts an upstream, its state and the receiver's window to a message.
     *
     * @param upstream the upstream
     * @param serving whether the upstream accepts new work
     * @param window the maximum number of attempts that the receiver may have outstanding at the sender
     * @return the message
     */
    public static Upstream toMessage(UpstreamDescription upstream, boolean serving, int window) {
        return Upstream.newBuilder()
                .setName(upstream.name())
                .addAllKinds(upstream.kinds())
                .setSlots(upstream.slots())
                .setConnections(upstream.connections())
                .setWorker(upstream.worker())
                .setRack(upstream.rack())
                .setAvailabilityZone(upstream.availabilityZone())
                .setServing(serving)
                .setWindow(window)
                .build();
    }

    /**
     * Converts a message to an upstream's description.
     *
     * @param message the message
     * @return the description
     */
    public static UpstreamDescription fromMessage(Upstream message) {
        return new UpstreamDescription(
                message.getName(),
                new HashSet<>(message.getKindsList()),
                message.getSlots(),
                message.getConnections(),
                message.getWorker(),
                message.getRack(),
                message.getAvailabilityZone());
    }

    /** Returns whole microseconds as an unsigned 32-bit number; a greater number becomes the maximum. */
    private static int toMicroseconds(Duration duration) {
        return (int) Math.min(MAXIMUM_UNSIGNED_INT, duration.toNanos() / NANOSECONDS_PER_MICROSECOND);
    }

    private static Duration fromMicroseconds(int microseconds) {
        return Duration.ofNanos(Integer.toUnsignedLong(microseconds) * NANOSECONDS_PER_MICROSECOND);
    }
}
