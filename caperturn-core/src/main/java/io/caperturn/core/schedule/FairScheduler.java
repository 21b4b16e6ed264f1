package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Scheduler that serves by urgency and weighted fair share within limits, and places on the fastest free slot.
 *
 * <p>A task waits here until a slot is free for it, so a wrong estimate or a slow back end holds nothing behind it.
 * Kinds of one urgency are charged for slot time in proportion to their weights, first as expected and then as
 * measured; the teams of a kind are charged alike. Work of lower urgency that has waited for longer than its bound gets
 * a fixed share of the slot time.
 */
public final class FairScheduler implements Scheduler {
    private static final int UNLIKELY_OVERHEADS = 4;

    private final SchedulerPolicy policy;
    private final LimitBook limits;
    private final WaitingTasks waiting;
    private final BackendRegistry backends;
    private final AdmissionCheck admission;
    private final Map<String, KindState> kinds = new LinkedHashMap<>();
    private final Map<TaskKey, PlacedTask> placed = new HashMap<>();
    private final PriorityQueue<PlacedTask> overdue =
            new PriorityQueue<>(Comparator.comparingLong(PlacedTask::overdueAt));
    private Table table = Table.EMPTY;
    private long lastNow;

    /**
     * Creates the scheduler of an entry that is alone until it is told otherwise.
     *
     * @param policy the constants to keep to
     */
    public FairScheduler(SchedulerPolicy policy) {
        this(policy, new LimitShare.Whole());
    }

    /**
     * Creates the scheduler.
     *
     * @param policy the constants to keep to
     * @param initial this entry's part of the limits until {@link #limitShareConfirmed} changes it
     */
    public FairScheduler(SchedulerPolicy policy, LimitShare initial) {
        this.policy = policy;
        this.limits = new LimitBook(initial);
        this.waiting = new WaitingTasks(policy);
        this.backends = new BackendRegistry(policy, kind -> Optional.ofNullable(kinds.get(kind)));
        this.admission = new AdmissionCheck(policy.admission());
    }

    @Override
    public void tableChanged(Table newer, Instant instant) {
        long now = TimeUnits.nanoseconds(instant);
        table = newer;
        limits.tableChanged(newer);
        for (KindRow row : new TreeMap<>(newer.kinds()).values()) {
            KindState known = kinds.get(row.kind());
            if (known == null) {
                kinds.put(row.kind(), new KindState(row, limits.newKind(row), new SpeedModel(policy.speed())));
            } else {
                KindRow before = known.row();
                known.change(row);
                waiting.reclassify(before, known, now);
            }
        }
        backends.kindsChanged();
    }

    @Override
    public void limitShareConfirmed(LimitShare share, Instant now) {
        limits.confirm(share, now);
    }

    @Override
    public AdmissionDecision admit(Submission submission, Instant instant) {
        long now = TimeUnits.nanoseconds(instant);
        Optional<KindRow> row = table.kind(submission.kind());
        if (row.isEmpty()) {
            return new AdmissionDecision.Refused(
                    FailureReason.UNKNOWN_KIND, "the table has no kind " + submission.kind(), Optional.empty());
        }
        KindState kind = kinds.get(submission.kind());
        LimitUsage team = limits.team(submission.id().team());
        Optional<AdmissionDecision.Refused> refused = admission.check(submission, kind, team, now);
        if (refused.isPresent()) {
            return refused.get();
        }
        limits.reserve(submission, kind.usage());
        return new AdmissionDecision.Admitted(
                submission.urgency().orElse(row.get().urgency()), row.get().taskTimeout());
    }

    @Override
    public void releaseReservation(Submission submission) {
        KindState kind = kinds.get(submission.kind());
        if (kind != null) {
            limits.withdraw(submission, kind.usage());
        }
    }

    @Override
    public void enqueue(Submission submission, List<TaskSpec> tasks, Instant now) {
        KindState kind = kinds.get(submission.kind());
        limits.enqueued(submission, tasks.size(), kind.usage());
        waiting.add(submission, tasks, kind, limits.team(submission.id().team()), TimeUnits.nanoseconds(now));
    }

    @Override
    public void removeWaitingTasks(SubmissionId submission) {
        waiting.remove(submission).ifPresent(queue -> {
            queue.lane().kind().usage().unqueue(queue.size());
            queue.team().usage().unqueue(queue.size());
        });
    }

    @Override
    public void sidecarChanged(
            ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now) {
        backends.changed(sidecar, upstream, serving, window);
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        backends.windowChanged(sidecar, window);
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        backends.lost(sidecar);
    }

    @Override
    public void placementFinished(TaskKey key, ProcessId sidecar, PlacementOutcome end, Duration serviceTime, Instant instant) {
        PlacedTask task = placed.remove(key);
        if (task == null) {
            return;
        }
        long now = TimeUnits.nanoseconds(instant);
        task.end();
        task.team().ended();
        LimitUsage kind = task.lane().kind().usage();
        LimitUsage team = task.team().usage();
        if (end == PlacementOutcome.UNKNOWN) {
            limits.endedUnknown(kind, team, task.placedAt());
        } else {
            LimitBook.ended(kind, team);
        }
        double seconds = switch (end) {
            case COMPLETED, FAILED -> TimeUnits.seconds(serviceTime);
            case NOT_STARTED -> 0;
            case UNKNOWN -> TimeUnits.seconds(now - task.placedAt());
        };
        waiting.charge(task.lane(), task.team(), seconds - task.chargedSeconds());
        if (end == PlacementOutcome.COMPLETED) {
            observe(task, seconds, now);
        }
        if (task.isOverdue()) {
            task.seat().backend().overdueEnded();
        }
        backends.ended(task.seat().backend(), key.submission(), end, now);
    }

    @Override
    public List<TaskPlacement> place(Instant instant) {
        long now = TimeUnits.nanoseconds(instant);
        lastNow = now;
        limits.release(now);
        backends.release(now);
        noteOverdue(now);
        List<TaskPlacement> placements = new ArrayList<>();
        for (Optional<WaitingTasks.Choice> choice = waiting.choose(now);
                choice.isPresent();
                choice = waiting.choose(now)) {
            placements.add(place(choice.get(), now));
        }
        return placements;
    }

    @Override
    public int countStartableTasks(ProcessId sidecar) {
        return backends.find(sidecar).filter(Backend::serving).stream()
                .flatMap(backend -> backend.seats().stream())
                .mapToInt(seat -> seat.kind().startable(lastNow))
                .sum();
    }

    @Override
    public List<SubmissionId> findUnservableSubmissions(Instant instant) {
        long now = TimeUnits.nanoseconds(instant);
        backends.fade(now);
        waiting.forgetIdleTeams();
        limits.forget(now);
        List<SubmissionId> unservable = new ArrayList<>();
        for (KindState kind : kinds.values()) {
            long unserved = kind.unservedFor(now);
            if (kind.waiting() > 0
                    && unserved >= policy.admission().unservableGrace().toNanos()) {
                unservable.addAll(waiting.submissionsOf(kind));
            }
        }
        return unservable;
    }

    @Override
    public SchedulerView view() {
        List<SchedulerView.QueueView> queues = kinds.values().stream()
                .filter(kind -> table.kind(kind.row().kind()).isPresent() || kind.waiting() > 0)
                .map(kind -> new SchedulerView.QueueView(
                        kind.row().kind(),
                        kind.row().urgency(),
                        kind.waiting(),
                        kind.usage().running()))
                .toList();
        return new SchedulerView(queues, backends.view());
    }

    private TaskPlacement place(WaitingTasks.Choice choice, long now) {
        SubmissionQueue queue = choice.queue();
        KindPool.Seat seat = choice.seat();
        KindState kind = queue.lane().kind();
        double estimate = SubmissionQueue.estimateSeconds(queue.first());
        double expected = kind.speeds().expectedSeconds(estimate) * seat.slowness();
        TaskSpec spec = waiting.take(choice, expected);
        TaskKey key = new TaskKey(queue.id(), spec.id());
        PlacedTask task = new PlacedTask(key, queue, seat, estimate, expected, now);
        double unlikely = kind.speeds().unlikelySeconds(estimate) * seat.slowness();
        double overhead = UNLIKELY_OVERHEADS * seat.backend().overheadSeconds();
        task.overdueAt(now + TimeUnits.nanoseconds(unlikely + overhead));
        placed.put(key, task);
        overdue.add(task);
        queue.team().placed();
        LimitBook.started(kind.usage(), queue.team().usage(), now);
        kind.drain().started(now);
        backends.placed(seat.backend());
        return new TaskPlacement(key, seat.backend().sidecar());
    }

    private static void observe(PlacedTask task, double seconds, long now) {
        Backend backend = task.seat().backend();
        SpeedModel speeds = task.lane().kind().speeds();
        speeds.observe(task.seat().observed(), backend.speed(), task.estimateSeconds(), seconds);
        backend.observeOverhead(TimeUnits.seconds(now - task.placedAt()) - seconds);
    }

    /** Lets back ends count as slow while tasks there run for much longer than expected. */
    private void noteOverdue(long now) {
        while (!overdue.isEmpty() && overdue.peek().overdueAt() <= now) {
            PlacedTask task = overdue.poll();
            if (task.hasEnded() || !task.seat().backend().linked()) {
                continue;
            }
            double elapsed = TimeUnits.seconds(now - task.placedAt());
            task.seat().backend().overdue(!task.isOverdue(), elapsed / task.chargedSeconds());
            task.overdue();
            backends.refresh(task.seat().backend());
            task.overdueAt(now + (now - task.placedAt()));
            overdue.add(task);
        }
    }
}
