package io.caperturn.replay.simulation;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
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

/** Clients in virtual time: they submit, wait, resubmit when their entry dies, and note their response times. */
final class Clients {
    private final EventLoop loop;
    private final Deployment deployment;
    private final Trace.Header header;
    private final Ideal ideal;
    private final Recorder recorder;
    private final ResponseTimes responses;
    private final Map<SubmissionId, Open> open = new HashMap<>();
    private List<EntryNode> entries = List.of();
    private int nextEntry;
    private long nextWaiter;

    Clients(EventLoop loop, Deployment deployment, Trace.Header header, Recorder recorder, ResponseTimes responses) {
        this.loop = loop;
        this.deployment = deployment;
        this.header = header;
        this.ideal = new Ideal(header, deployment.upstreams());
        this.recorder = recorder;
        this.responses = responses;
    }

    void connect(List<EntryNode> nodes) {
        entries = List.copyOf(nodes);
    }

    boolean allAnswered() {
        return open.isEmpty();
    }

    void submit(TraceEvent.Arrival arrival) {
        Submission submission = submission(arrival);
        Open waiting = new Open(arrival, submission, loop.nowMilliseconds());
        open.put(submission.id(), waiting);
        send(waiting);
    }

    void cancel(TraceEvent.Cancellation cancellation) {
        SubmissionId id = new SubmissionId(cancellation.team(), cancellation.key());
        Open waiting = open.get(id);
        if (waiting != null) {
            EntryNode entry = waiting.entry;
            loop.after(deployment.clientMilliseconds(), () -> entry.on(new EntryEvent.CancelRequested(id)));
        }
    }

    /** Lets the clients of an entry that died ask another one. */
    void entryLost(EntryNode lost) {
        for (Open waiting : new ArrayList<>(open.values())) {
            if (waiting.entry == lost) {
                dropUnstarted(waiting);
                loop.after(2 * deployment.clientMilliseconds(), () -> send(waiting));
            }
        }
    }

    void started(SubmissionId submission) {
        Open waiting = open.get(submission);
        if (waiting != null && waiting.unstarted > 0) {
            waiting.unstarted--;
            recorder.waits(waiting.arrival.kind(), -1, loop.nowMilliseconds());
        }
    }

    void answered(EntryMachineCommand.SendAnswer given) {
        Open waiting = open.get(given.submission());
        if (waiting == null) {
            return;
        }
        dropUnstarted(waiting);
        loop.after(deployment.clientMilliseconds(), () -> receive(waiting, given.answer()));
    }

    private void send(Open waiting) {
        EntryNode entry = nextLiveEntry();
        waiting.entry = entry;
        long waiter = nextWaiter++;
        loop.after(deployment.clientMilliseconds(), () -> {
            waiting.unstarted = waiting.submission.tasks().size();
            recorder.waits(waiting.arrival.kind(), waiting.unstarted, loop.nowMilliseconds());
            entry.on(new EntryEvent.SubmissionArrived(waiting.submission, waiter));
        });
    }

    private void receive(Open waiting, Answer answer) {
        if (open.remove(waiting.submission.id()) == null) {
            return;
        }
        double idealMilliseconds = ideal.milliseconds(waiting.arrival);
        boolean urgent = urgency(waiting.arrival) == Urgency.URGENT;
        switch (answer) {
            case Answer.Complete ignored ->
                responses.completed(urgent, (loop.nowMilliseconds() - waiting.since) / idealMilliseconds);
            case Answer.Failed failed when failed.reason() == FailureReason.CANCELLED -> responses.cancelled();
            case Answer.Failed failed ->
                responses.failed(urgent, failed.reason(), waiting.arrival.deadlineMilliseconds() / idealMilliseconds);
        }
    }

    private void dropUnstarted(Open waiting) {
        recorder.waits(waiting.arrival.kind(), -waiting.unstarted, loop.nowMilliseconds());
        waiting.unstarted = 0;
    }

    private EntryNode nextLiveEntry() {
        EntryNode entry = entries.get(nextEntry++ % entries.size());
        return entry.alive() ? entry : nextLiveEntry();
    }

    private Urgency urgency(TraceEvent.Arrival arrival) {
        return arrival.urgency() == null
                ? header.table().kinds().get(arrival.kind()).urgency()
                : arrival.urgency();
    }

    private Submission submission(TraceEvent.Arrival arrival) {
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
                loop.now().plusMillis(arrival.deadlineMilliseconds()),
                "digest",
                tasks);
    }

    /** A submission whose answer has not arrived. */
    private static final class Open {
        private final TraceEvent.Arrival arrival;
        private final Submission submission;
        private final double since;
        private EntryNode entry;
        private int unstarted;

        private Open(TraceEvent.Arrival arrival, Submission submission, double since) {
            this.arrival = arrival;
            this.submission = submission;
            this.since = since;
        }
    }
}
