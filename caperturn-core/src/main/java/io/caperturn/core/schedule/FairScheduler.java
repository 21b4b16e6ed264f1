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
 * Scheduler that orders waiting tasks by urgency and weighted fair share within limits, and places each at the fastest
 * back end with a free slot.
 *
 * <p>A back end is a sidecar process with the upstream beside it; its window is the maximum number of tasks outstanding
 * there. The pool of a kind holds the back ends that serve it. The table is the operators' list of kinds and teams.
 * Tasks wait in this scheduler until a slot is free, not at back ends, so a wrong estimate or a slow back end delays
 * only the tasks placed there. Kinds of task with the same urgency share slot time in proportion to their weights, and
 * the teams of a kind share it equally. Kind and team are charged the expected slot time of a placed task, corrected to
 * the measured time when it finishes. Tasks of lower urgency that have waited too long get a fixed share of the slot
 * time ahead of more urgent ones. Times of type long are in nanoseconds since the epoch.
 */
public final class FairScheduler implements Scheduler {
    /**
     * A placed task is overdue after the outlier threshold of service times plus this multiple of the mean time that
     * tasks of its back end spend outside the upstream.
     */
    private static final int OVERDUE_OVERHEAD_FACTOR = 4;

    private final SchedulerPolicy policy;
    private final LimitAccounting limits;
    private final FairTaskQueue taskQueue;
    private final BackendRegistry backends;
    private final AdmissionCheck admission;
    private final Map<String, KindState> kinds = new LinkedHashMap<>();
    private final Map<TaskKey, PlacedTask> placedTasks = new HashMap<>();
    private final PriorityQueue<PlacedTask> overdueChecks =
            new PriorityQueue<>(Comparator.comparingLong(PlacedTask::nextOverdueCheckAt));
    private Table table = Table.EMPTY;
    private long lastPlaceCallAt;

    /**
     * Creates the scheduler of an entry (a process that accepts submissions) that may use all of each limit until
     * {@link #limitShareConfirmed} sets a smaller share.
     *
     * @param policy the parameters of scheduling
     */
    public FairScheduler(SchedulerPolicy policy) {
        this(policy, new LimitShare.Whole());
    }

    /**
     * Creates the scheduler of an entry with an initial share of the limits.
     *
     * @param policy the parameters of scheduling
     * @param initial the share until {@link #limitShareConfirmed} changes it
     */
    public FairScheduler(SchedulerPolicy policy, LimitShare initial) {
        this.policy = policy;
        this.limits = new LimitAccounting(initial);
        this.taskQueue = new FairTaskQueue(policy);
        this.backends = new BackendRegistry(policy, kind -> Optional.ofNullable(kinds.get(kind)));
        this.admission = new AdmissionCheck(policy.admission());
    }

    @Override
    public void tableChanged(Table newTable, Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        table = newTable;
        limits.tableChanged(newTable);
        for (KindRow row : new TreeMap<>(newTable.kinds()).values()) {
            KindState existing = kinds.get(row.kind());
            if (existing == null) {
                kinds.put(
                        row.kind(), new KindState(row, limits.newKindUsage(row), new ServiceTimeModel(policy.speed())));
            } else {
                KindRow previousRow = existing.row();
                existing.updateRow(row);
                taskQueue.updateUrgency(previousRow, existing, now);
            }
        }
        backends.kindsChanged();
    }

    @Override
    public void limitShareConfirmed(LimitShare share, Instant now) {
        limits.confirmShare(share, now);
    }

    @Override
    public AdmissionDecision admit(Submission submission, Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        Optional<KindRow> row = table.kind(submission.kind());
        if (row.isEmpty()) {
            return new AdmissionDecision.Refused(
                    FailureReason.UNKNOWN_KIND, "the table has no kind " + submission.kind(), Optional.empty());
        }
        KindState kind = kinds.get(submission.kind());
        LimitUsage teamUsage = limits.teamUsage(submission.id().team());
        Optional<AdmissionDecision.Refused> refusal = admission.findRefusal(submission, kind, teamUsage, now);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        limits.reserve(submission, kind.usage());
        return new AdmissionDecision.Admitted(
                submission.urgency().orElse(row.get().urgency()), row.get().taskTimeout());
    }

    @Override
    public void releaseReservation(Submission submission) {
        KindState kind = kinds.get(submission.kind());
        if (kind != null) {
            limits.releaseReservation(submission, kind.usage());
        }
    }

    @Override
    public void enqueue(Submission submission, List<TaskSpec> tasks, Instant now) {
        KindState kind = kinds.get(submission.kind());
        limits.recordEnqueued(submission, tasks.size(), kind.usage());
        taskQueue.add(
                submission, tasks, kind, limits.teamUsage(submission.id().team()), TimeConversions.toNanoseconds(now));
    }

    @Override
    public void removeWaitingTasks(SubmissionId submission) {
        taskQueue.remove(submission).ifPresent(queue -> {
            queue.kindQueue().kind().usage().removeQueued(queue.size());
            queue.teamQueue().usage().removeQueued(queue.size());
        });
    }

    @Override
    public void sidecarChanged(
            ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now) {
        backends.addOrUpdate(sidecar, upstream, serving, window);
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        backends.windowChanged(sidecar, window);
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        backends.sidecarLost(sidecar);
    }

    @Override
    public void placementFinished(
            TaskKey key, ProcessId sidecar, PlacementOutcome outcome, Duration serviceTime, Instant instant) {
        PlacedTask task = placedTasks.remove(key);
        if (task == null) {
            return;
        }
        long now = TimeConversions.toNanoseconds(instant);
        task.markFinished();
        task.teamQueue().taskFinished();
        LimitUsage kindUsage = task.kindQueue().kind().usage();
        LimitUsage teamUsage = task.teamQueue().usage();
        if (outcome == PlacementOutcome.UNKNOWN) {
            limits.recordUnknownOutcome(kindUsage, teamUsage, task.placedAt());
        } else {
            LimitAccounting.recordFinish(kindUsage, teamUsage);
        }
        double seconds = switch (outcome) {
            case COMPLETED, FAILED -> TimeConversions.toSeconds(serviceTime);
            case NOT_STARTED -> 0;
            case UNKNOWN -> TimeConversions.toSeconds(now - task.placedAt());
        };
        taskQueue.charge(task.kindQueue(), task.teamQueue(), seconds - task.chargedSeconds());
        if (outcome == PlacementOutcome.COMPLETED) {
            recordServiceTime(task, seconds, now);
        }
        if (task.isOverdue()) {
            task.poolMember().backend().overdueTaskFinished();
        }
        backends.placementFinished(task.poolMember().backend(), key.submission(), outcome, now);
    }

    @Override
    public List<TaskPlacement> place(Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        lastPlaceCallAt = now;
        limits.releaseExpired(now);
        backends.endExpiredPausesAndEjections(now);
        updateOverdueTasks(now);
        List<TaskPlacement> placements = new ArrayList<>();
        for (Optional<FairTaskQueue.Choice> choice = taskQueue.choose(now);
                choice.isPresent();
                choice = taskQueue.choose(now)) {
            placements.add(place(choice.get(), now));
        }
        return placements;
    }

    @Override
    public int countStartableTasks(ProcessId sidecar) {
        return backends.find(sidecar).filter(Backend::isServing).stream()
                .flatMap(backend -> backend.poolMembers().stream())
                .mapToInt(member -> member.kind().countStartable(lastPlaceCallAt))
                .sum();
    }

    @Override
    public List<SubmissionId> findUnservableSubmissions(Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        // The caller calls this method regularly, so it also ages statistics and discards unused state.
        backends.halveOutcomeCountsIfDue(now);
        taskQueue.removeIdleTeams();
        limits.removeUnused(now);
        List<SubmissionId> unservable = new ArrayList<>();
        for (KindState kind : kinds.values()) {
            long unservedNanoseconds = kind.updateUnservedTime(now);
            if (kind.waitingTasks() > 0
                    && unservedNanoseconds
                            >= policy.admission().unservableGrace().toNanos()) {
                unservable.addAll(taskQueue.findSubmissions(kind));
            }
        }
        return unservable;
    }

    @Override
    public SchedulerView view() {
        List<SchedulerView.QueueView> queues = kinds.values().stream()
                .filter(kind -> table.kind(kind.row().kind()).isPresent() || kind.waitingTasks() > 0)
                .map(kind -> new SchedulerView.QueueView(
                        kind.row().kind(),
                        kind.row().urgency(),
                        kind.waitingTasks(),
                        kind.usage().runningTasks()))
                .toList();
        return new SchedulerView(queues, backends.view());
    }

    private TaskPlacement place(FairTaskQueue.Choice choice, long now) {
        SubmissionQueue queue = choice.queue();
        KindPool.PoolMember member = choice.poolMember();
        KindState kind = queue.kindQueue().kind();
        double estimateSeconds = SubmissionQueue.estimateSeconds(queue.peek());
        double expectedSeconds = kind.serviceTimes().expectedSeconds(estimateSeconds) * member.slowness();
        TaskSpec spec = taskQueue.dequeue(choice, expectedSeconds);
        TaskKey key = new TaskKey(queue.id(), spec.id());
        PlacedTask task = new PlacedTask(key, queue, member, estimateSeconds, expectedSeconds, now);
        double outlierSeconds = kind.serviceTimes().outlierSeconds(estimateSeconds) * member.slowness();
        double toleratedOverheadSeconds =
                OVERDUE_OVERHEAD_FACTOR * member.backend().overheadSeconds();
        task.setNextOverdueCheckAt(now + TimeConversions.toNanoseconds(outlierSeconds + toleratedOverheadSeconds));
        placedTasks.put(key, task);
        overdueChecks.add(task);
        queue.teamQueue().taskPlaced();
        LimitAccounting.recordStart(kind.usage(), queue.teamQueue().usage(), now);
        kind.drainRate().recordStart(now);
        backends.taskPlaced(member.backend());
        return new TaskPlacement(key, member.backend().sidecar());
    }

    private static void recordServiceTime(PlacedTask task, double seconds, long now) {
        Backend backend = task.poolMember().backend();
        ServiceTimeModel serviceTimes = task.kindQueue().kind().serviceTimes();
        serviceTimes.observe(task.poolMember().observations(), backend.overallSpeed(), task.estimateSeconds(), seconds);
        backend.observeOverhead(TimeConversions.toSeconds(now - task.placedAt()) - seconds);
    }

    /**
     * Marks back ends as slow while a task there takes much longer than expected. An overdue task is checked again when
     * its elapsed time has doubled.
     */
    private void updateOverdueTasks(long now) {
        while (!overdueChecks.isEmpty() && overdueChecks.peek().nextOverdueCheckAt() <= now) {
            PlacedTask task = overdueChecks.poll();
            if (task.isFinished() || !task.poolMember().backend().isLinked()) {
                continue;
            }
            double elapsedSeconds = TimeConversions.toSeconds(now - task.placedAt());
            task.poolMember()
                    .backend()
                    .recordOverdueTask(/* isFirstTime= */ !task.isOverdue(), elapsedSeconds / task.chargedSeconds());
            task.markOverdue();
            backends.refresh(task.poolMember().backend());
            task.setNextOverdueCheckAt(now + (now - task.placedAt()));
            overdueChecks.add(task);
        }
    }
}
