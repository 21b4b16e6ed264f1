package io.caperturn.replay.simulation;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.Urgency;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceEvent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Simulated clients, which submit the work of a trace to entries (processes that accept submissions), resubmit it if
 * their entry is lost, and record response times. Messages between them and entries take {@code clientMilliseconds}.
 */
final class SimulatedClients {
    private final VirtualTimeLoop loop;
    private final Deployment deployment;
    private final Trace.Header header;
    private final IdealResponseTime idealResponseTime;
    private final ReplayStatistics statistics;
    private final ResponseTimes responseTimes;
    private final Map<SubmissionId, PendingSubmission> pendingSubmissions = new HashMap<>();
    private List<SimulatedEntry> entries = List.of();
    private int nextEntryIndex;
    private long nextRequestNumber;

    SimulatedClients(
            VirtualTimeLoop loop,
            Deployment deployment,
            Trace.Header header,
            ReplayStatistics statistics,
            ResponseTimes responseTimes) {
        this.loop = loop;
        this.deployment = deployment;
        this.header = header;
        this.idealResponseTime = new IdealResponseTime(header, deployment.upstreams());
        this.statistics = statistics;
        this.responseTimes = responseTimes;
    }

    void setEntries(List<SimulatedEntry> newEntries) {
        entries = List.copyOf(newEntries);
    }

    boolean areAllAnswered() {
        return pendingSubmissions.isEmpty();
    }

    void submit(TraceEvent.Arrival arrival) {
        Submission submission = toSubmission(arrival);
        PendingSubmission pending = new PendingSubmission(arrival, submission, loop.currentMilliseconds());
        pendingSubmissions.put(submission.id(), pending);
        send(pending);
    }

    void cancel(TraceEvent.Cancellation cancellation) {
        SubmissionId id = new SubmissionId(cancellation.team(), cancellation.key());
        PendingSubmission pending = pendingSubmissions.get(id);
        if (pending != null) {
            SimulatedEntry entry = pending.entry;
            loop.scheduleAfter(
                    deployment.clientMilliseconds(), () -> entry.handleEvent(new EntryEvent.CancelRequested(id)));
        }
    }

    /** Resubmits the pending submissions of a lost entry to another entry. */
    void resubmitFromLostEntry(SimulatedEntry lost) {
        for (PendingSubmission pending : new ArrayList<>(pendingSubmissions.values())) {
            if (pending.entry == lost) {
                removeUnstartedTasks(pending);
                loop.scheduleAfter(2 * deployment.clientMilliseconds(), () -> send(pending));
            }
        }
    }

    void handleTaskStart(SubmissionId submission) {
        PendingSubmission pending = pendingSubmissions.get(submission);
        if (pending != null && pending.unstartedTasks > 0) {
            pending.unstartedTasks--;
            statistics.addWaitingTasks(pending.arrival.kind(), -1, loop.currentMilliseconds());
        }
    }

    void handleAnswer(EntryMachineCommand.SendAnswer command) {
        PendingSubmission pending = pendingSubmissions.get(command.submission());
        if (pending == null) {
            return;
        }
        removeUnstartedTasks(pending);
        loop.scheduleAfter(deployment.clientMilliseconds(), () -> recordAnswer(pending, command.answer()));
    }

    private void send(PendingSubmission pending) {
        SimulatedEntry entry = nextLiveEntry();
        pending.entry = entry;
        long requestNumber = nextRequestNumber++;
        loop.scheduleAfter(deployment.clientMilliseconds(), () -> {
            pending.unstartedTasks = pending.submission.tasks().size();
            statistics.addWaitingTasks(pending.arrival.kind(), pending.unstartedTasks, loop.currentMilliseconds());
            entry.handleEvent(new EntryEvent.SubmissionArrived(pending.submission, requestNumber));
        });
    }

    private void recordAnswer(PendingSubmission pending, Answer answer) {
        if (pendingSubmissions.remove(pending.submission.id()) == null) {
            return;
        }
        double idealMilliseconds = idealResponseTime.milliseconds(pending.arrival);
        boolean isUrgent = effectiveUrgency(pending.arrival) == Urgency.URGENT;
        switch (answer) {
            case Answer.Complete ignored ->
                responseTimes.recordRatio(
                        isUrgent, (loop.currentMilliseconds() - pending.submittedMilliseconds) / idealMilliseconds);
            case Answer.Failed failed
            when failed.reason() == FailureReason.CANCELLED -> responseTimes.recordCancellation();
            case Answer.Failed failed ->
                responseTimes.recordFailure(
                        isUrgent, failed.reason(), pending.arrival.deadlineMilliseconds() / idealMilliseconds);
        }
    }

    /** Removes the unstarted tasks of a submission from the number of waiting tasks. */
    private void removeUnstartedTasks(PendingSubmission pending) {
        statistics.addWaitingTasks(pending.arrival.kind(), -pending.unstartedTasks, loop.currentMilliseconds());
        pending.unstartedTasks = 0;
    }

    private SimulatedEntry nextLiveEntry() {
        SimulatedEntry entry = entries.get(nextEntryIndex++ % entries.size());
        return entry.isAlive() ? entry : nextLiveEntry();
    }

    private Urgency effectiveUrgency(TraceEvent.Arrival arrival) {
        return arrival.urgency() == null
                ? header.table().kinds().get(arrival.kind()).urgency()
                : arrival.urgency();
    }

    private Submission toSubmission(TraceEvent.Arrival arrival) {
        // The payload of a task is its run time in milliseconds.
        List<TaskSpec> tasks = new ArrayList<>();
        for (TraceEvent.Task task : arrival.tasks()) {
            Optional<Duration> estimate =
                    Optional.ofNullable(task.declared()).map(declared -> Duration.ofNanos((long) (declared * 1e6)));
            tasks.add(new TaskSpec("t" + tasks.size(), estimate, Double.toString(task.actual())));
        }
        return new Submission(
                new SubmissionId(arrival.team(), arrival.key()),
                arrival.kind(),
                Optional.ofNullable(arrival.urgency()),
                arrival.idempotent() ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE,
                loop.currentTime().plusMillis(arrival.deadlineMilliseconds()),
                "digest",
                tasks);
    }

    /** Submission whose answer the client has not received yet. */
    private static final class PendingSubmission {
        private final TraceEvent.Arrival arrival;
        private final Submission submission;
        private final double submittedMilliseconds;
        private SimulatedEntry entry;
        private int unstartedTasks;

        private PendingSubmission(TraceEvent.Arrival arrival, Submission submission, double submittedMilliseconds) {
            this.arrival = arrival;
            this.submission = submission;
            this.submittedMilliseconds = submittedMilliseconds;
        }
    }
}
