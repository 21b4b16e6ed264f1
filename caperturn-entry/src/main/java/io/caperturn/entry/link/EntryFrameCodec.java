package io.caperturn.entry.link;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.TaskResult;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.Urgency;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.message.CancelBatch;
import io.caperturn.wire.message.Demand;
import io.caperturn.wire.message.Dispatch;
import io.caperturn.wire.message.DispatchBatch;
import io.caperturn.wire.message.Fence;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Relay;
import io.caperturn.wire.message.RelayAnswer;
import io.caperturn.wire.message.Resolve;
import io.caperturn.wire.message.Task;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Encoder of the frames (messages on a link) that an entry process sends, and decoder of the relay frames between
 * entries.
 *
 * <p>A dispatch sends an attempt to run a task to a sidecar (process beside an upstream); a resolve asks for its state.
 * Demand is the number of waiting tasks. A fence makes the sidecar refuse dispatches with a lower fencing token. A
 * relay passes a submission to its owner. Times are sent as durations, since clocks differ.
 */
final class EntryFrameCodec {
    private EntryFrameCodec() {}

    static Frame.Builder encodeDispatches(EntryMachineCommand.SendDispatches command, Instant now) {
        DispatchBatch.Builder batch = DispatchBatch.newBuilder()
                .setAddressee(MessageCodec.toMessage(command.sidecar()))
                .setDemand(command.demand());
        for (EntryMachineCommand.Dispatch dispatch : command.dispatches()) {
            batch.addDispatches(Dispatch.newBuilder()
                    .setAttempt(MessageCodec.toMessage(dispatch.attempt()))
                    .setKind(dispatch.kind())
                    .setPayload(dispatch.payload())
                    .setClaimAgeMilliseconds(Math.max(
                            0, Duration.between(dispatch.claimedAt(), now).toMillis()))
                    .setTimeoutMilliseconds((int) dispatch.timeout().toMillis()));
        }
        return Frame.newBuilder().setDispatchBatch(batch);
    }

    static Frame.Builder encodeDemand(EntryMachineCommand.SendDemand command) {
        return Frame.newBuilder().setDemand(Demand.newBuilder().setDemand(command.demand()));
    }

    static Frame.Builder encodeResolve(EntryMachineCommand.SendResolve command) {
        return Frame.newBuilder()
                .setResolve(Resolve.newBuilder()
                        .setAddressee(MessageCodec.toMessage(command.sidecar()))
                        .setAttempt(MessageCodec.toMessage(command.attempt())));
    }

    static Frame.Builder encodeFence(EntryMachineCommand.SendFence command) {
        return Frame.newBuilder()
                .setFence(Fence.newBuilder()
                        .setSubmission(MessageCodec.toMessage(command.submission()))
                        .setFence(command.fence()));
    }

    static Frame.Builder encodeCancels(EntryMachineCommand.SendCancels command) {
        CancelBatch.Builder batch = CancelBatch.newBuilder();
        command.attempts().forEach(attempt -> batch.addAttempts(MessageCodec.toMessage(attempt)));
        return Frame.newBuilder().setCancelBatch(batch);
    }

    static Frame.Builder encodeRelay(Submission submission, long relayNumber, Instant now) {
        Relay.Builder relay = Relay.newBuilder()
                .setSubmission(MessageCodec.toMessage(submission.id()))
                .setKind(submission.kind())
                .setUrgency(submission.urgency().map(Urgency::name).orElse(""))
                .setIdempotent(submission.repeatability() == Repeatability.IDEMPOTENT)
                .setRemainingMilliseconds(
                        Math.max(0, Duration.between(now, submission.deadline()).toMillis()))
                .setDigest(submission.digest())
                .setRelayNumber(relayNumber);
        for (TaskSpec spec : submission.tasks()) {
            Task.Builder task = Task.newBuilder().setId(spec.id()).setPayload(spec.payload());
            spec.estimate().ifPresent(estimate -> task.setEstimateMilliseconds(estimate.toMillis()));
            relay.addTasks(task);
        }
        return Frame.newBuilder().setRelay(relay);
    }

    static Submission decodeSubmission(Relay relay, Instant now) {
        return new Submission(
                MessageCodec.fromMessage(relay.getSubmission()),
                relay.getKind(),
                relay.getUrgency().isEmpty() ? Optional.empty() : Optional.of(Urgency.valueOf(relay.getUrgency())),
                relay.getIdempotent() ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE,
                now.plusMillis(relay.getRemainingMilliseconds()),
                relay.getDigest(),
                relay.getTasksList().stream().map(EntryFrameCodec::decodeTask).toList());
    }

    static Frame.Builder encodeAnswer(long relayNumber, Answer answer) {
        RelayAnswer.Builder reply = RelayAnswer.newBuilder().setRelayNumber(relayNumber);
        switch (answer) {
            case Answer.Complete complete -> {
                reply.setComplete(true);
                complete.results()
                        .forEach(result -> reply.addResults(io.caperturn.wire.message.TaskResult.newBuilder()
                                .setTask(result.task())
                                .setResult(result.result())));
            }
            case Answer.Failed(
                    FailureReason reason,
                    Execution execution,
                    String detail,
                    Optional<Duration> retryAfter) -> {
                reply.setFailureReason(reason.name())
                        .setExecution(MessageCodec.toMessage(execution))
                        .setDetail(detail);
                retryAfter.ifPresent(duration -> reply.setRetryAfterMilliseconds(duration.toMillis()));
            }
        }
        return Frame.newBuilder().setRelayAnswer(reply);
    }

    static Answer decodeAnswer(RelayAnswer reply) {
        if (reply.getComplete()) {
            return new Answer.Complete(reply.getResultsList().stream()
                    .map(result -> new TaskResult(result.getTask(), result.getResult()))
                    .toList());
        }
        return new Answer.Failed(
                FailureReason.valueOf(reply.getFailureReason()),
                MessageCodec.fromMessage(reply.getExecution()),
                reply.getDetail(),
                reply.hasRetryAfterMilliseconds()
                        ? Optional.of(Duration.ofMillis(reply.getRetryAfterMilliseconds()))
                        : Optional.empty());
    }

    private static TaskSpec decodeTask(Task task) {
        Optional<Duration> estimate = task.hasEstimateMilliseconds()
                ? Optional.of(Duration.ofMillis(task.getEstimateMilliseconds()))
                : Optional.empty();
        return new TaskSpec(task.getId(), estimate, task.getPayload());
    }
}
