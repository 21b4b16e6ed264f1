package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.Urgency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Waiting tasks of a scheduler, ordered by urgency, then by fair shares of kinds of task and of teams, and then by due
 * time of submissions.
 *
 * <p>Kinds and teams are served in order of start tags, which grow by the slot time charged; the virtual time is the
 * highest start tag served. A submission is due after a multiple of its expected run time. A back end is a sidecar
 * process with the upstream beside it, which runs tasks in its slots. Times of type long are in nanoseconds since the
 * epoch.
 */
final class FairTaskQueue {
    /** Bounds the time that a choice takes if no back end is suitable for the first submissions of a team. */
    private static final int MAXIMUM_SUBMISSIONS_CHECKED_PER_TEAM = 4;

    private final SchedulerPolicy policy;
    private final Map<Urgency, UrgencyClass> urgencyClasses = new EnumMap<>(Urgency.class);
    private final Map<KindQueueKey, KindQueue> kindQueues = new LinkedHashMap<>();
    private final Map<SubmissionId, SubmissionQueue> submissionQueues = new HashMap<>();
    private int nextSequenceNumber;

    FairTaskQueue(SchedulerPolicy policy) {
        this.policy = policy;
        SchedulerPolicy.OrderPolicy order = policy.order();
        long normalWaitNanoseconds = order.normalWait().toNanos();
        urgencyClasses.put(
                Urgency.URGENT,
                new UrgencyClass(
                        /* waitBeforeNextNanoseconds= */ Long.MAX_VALUE,
                        /* waitBeforeAllNanoseconds= */ Long.MAX_VALUE));
        urgencyClasses.put(Urgency.NORMAL, new UrgencyClass(normalWaitNanoseconds, normalWaitNanoseconds));
        urgencyClasses.put(
                Urgency.BACKGROUND,
                new UrgencyClass(
                        order.backgroundWait().toNanos(),
                        order.backgroundWaitBeforeUrgent().toNanos()));
    }

    /**
     * Choice of the task to place next and of the back end for it.
     *
     * @param queue the queue of the submission whose first task is placed
     * @param poolMember the back end
     * @param usesOverdueShare true if the task is placed ahead of more urgent ones and its slot time counts against the
     *     overdue share
     */
    record Choice(SubmissionQueue queue, KindPool.PoolMember poolMember, boolean usesOverdueShare) {}

    void add(Submission submission, List<TaskSpec> tasks, KindState kind, LimitUsage teamUsage, long now) {
        SubmissionQueue existing = submissionQueues.get(submission.id());
        if (existing != null) {
            // A team's submissions are sorted by due time, which depends on the tasks.
            existing.kindQueue().removeFromTeamQueue(existing);
            existing.add(tasks);
            addToQueues(existing, tasks.size());
            return;
        }
        Urgency urgency = submission.urgency().orElse(kind.row().urgency());
        KindQueue kindQueue = kindQueues.computeIfAbsent(
                new KindQueueKey(urgency, kind.row().kind()),
                key -> new KindQueue(kind, urgency, nextSequenceNumber++));
        TeamQueue teamQueue = kindQueue.getOrCreateTeamQueue(submission.id().team(), teamUsage);
        SubmissionQueue queue = new SubmissionQueue(submission, kindQueue, teamQueue, now, nextSequenceNumber++);
        queue.add(tasks);
        submissionQueues.put(queue.id(), queue);
        addToQueues(queue, tasks.size());
    }

    private void addToQueues(SubmissionQueue queue, int addedTasks) {
        KindQueue kindQueue = queue.kindQueue();
        kindQueue.addToTeamQueue(queue, policy.order().dueTimeFactor());
        kindQueue.kind().addWaitingTasks(addedTasks);
        urgencyClasses.get(kindQueue.urgency()).kindQueues().add(kindQueue);
    }

    /** Removes a submission and returns its queue with the tasks that were waiting. */
    Optional<SubmissionQueue> remove(SubmissionId submission) {
        SubmissionQueue queue = submissionQueues.remove(submission);
        if (queue == null) {
            return Optional.empty();
        }
        KindQueue kindQueue = queue.kindQueue();
        kindQueue.removeFromTeamQueue(queue);
        kindQueue.remove(queue);
        kindQueue.kind().addWaitingTasks(-queue.size());
        if (kindQueue.isEmpty()) {
            urgencyClasses.get(kindQueue.urgency()).kindQueues().remove(kindQueue);
        }
        return Optional.of(queue);
    }

    /** Moves the waiting submissions of a kind to the new urgency of the kind, except those that request an urgency. */
    void updateUrgency(KindRow previousRow, KindState kind, long now) {
        KindQueue kindQueue = kindQueues.get(new KindQueueKey(previousRow.urgency(), previousRow.kind()));
        if (kindQueue == null || previousRow.urgency() == kind.row().urgency()) {
            return;
        }
        for (SubmissionQueue queue : List.copyOf(kindQueue.submissionQueues())) {
            if (queue.submission().urgency().isEmpty()) {
                remove(queue.id());
                List<TaskSpec> tasks = new ArrayList<>();
                while (queue.size() > 0) {
                    tasks.add(queue.poll());
                }
                add(queue.submission(), tasks, kind, queue.teamQueue().usage(), now);
            }
        }
    }

    /**
     * Chooses the first task in order that the limits allow to start and for which a suitable back end is free.
     *
     * <p>An urgency class is overdue if its tasks have waited too long; it then comes ahead of more urgent classes as
     * far as its credit allows, which grows by the overdue share of slot time.
     */
    Optional<Choice> choose(long now) {
        UrgencyClass urgent = urgencyClasses.get(Urgency.URGENT);
        UrgencyClass normal = urgencyClasses.get(Urgency.NORMAL);
        UrgencyClass background = urgencyClasses.get(Urgency.BACKGROUND);
        boolean isBackgroundAheadOfNormal = background.isAllowedAheadOfNextClass(now);
        boolean isNormalAheadOfUrgent = normal.isAllowedAheadOfNextClass(now);
        Optional<Choice> choice = Optional.empty();
        if (background.isAllowedAheadOfAllClasses(now)) {
            choice = chooseFromClass(background, new TaskCounter(), /* usesOverdueShare= */ true, now);
        }
        if (choice.isEmpty() && isNormalAheadOfUrgent) {
            choice = chooseFromClass(normal, new TaskCounter(), true, now);
        }
        TaskCounter tasksAhead = new TaskCounter();
        if (choice.isEmpty()) {
            choice = chooseFromClass(urgent, tasksAhead, /* usesOverdueShare= */ false, now);
        }
        if (choice.isEmpty() && isBackgroundAheadOfNormal) {
            choice = chooseFromClass(background, new TaskCounter(), true, now);
        }
        if (choice.isEmpty()) {
            choice = chooseFromClass(normal, tasksAhead, false, now);
        }
        return choice.isPresent() ? choice : chooseFromClass(background, tasksAhead, false, now);
    }

    private Optional<Choice> chooseFromClass(
            UrgencyClass urgencyClass, TaskCounter tasksAhead, boolean usesOverdueShare, long now) {
        List<KindQueue> kindsAtLimit = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (KindQueue kindQueue : urgencyClass.kindQueues()) {
            if (!kindQueue.kind().usage().isStartAllowed(now)) {
                kindsAtLimit.add(kindQueue);
            } else if (kindQueue.kind().pool().hasFreeBackend()) {
                choice = chooseFromKind(kindQueue, tasksAhead, usesOverdueShare, now);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        // Time at a limit must give no advantage later.
        kindsAtLimit.forEach(urgencyClass.kindQueues()::advanceToVirtualTime);
        return choice;
    }

    private Optional<Choice> chooseFromKind(
            KindQueue kindQueue, TaskCounter tasksAhead, boolean usesOverdueShare, long now) {
        List<TeamQueue> teamsAtLimit = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (TeamQueue team : kindQueue.teamOrder()) {
            if (team.usage().isStartAllowed(now)) {
                choice = chooseFromTeam(team, tasksAhead, usesOverdueShare, now);
            } else {
                teamsAtLimit.add(team);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        teamsAtLimit.forEach(kindQueue.teamOrder()::advanceToVirtualTime);
        return choice;
    }

    private Optional<Choice> chooseFromTeam(
            TeamQueue team, TaskCounter tasksAhead, boolean usesOverdueShare, long now) {
        int checked = 0;
        for (SubmissionQueue queue : team.submissionQueues()) {
            if (++checked > MAXIMUM_SUBMISSIONS_CHECKED_PER_TEAM) {
                break;
            }
            tasksAhead.count += queue.size();
            Optional<KindPool.PoolMember> backend = chooseBackend(queue, tasksAhead.count, now);
            if (backend.isPresent()) {
                return Optional.of(new Choice(queue, backend.get(), usesOverdueShare));
            }
        }
        return Optional.empty();
    }

    /**
     * Chooses a back end for the first task of a submission; empty if none is free or waiting for a faster one is
     * expected to be better. A back end on probation after failures comes first, to test it.
     */
    private Optional<KindPool.PoolMember> chooseBackend(SubmissionQueue queue, int tasksAhead, long now) {
        KindPool pool = queue.kindQueue().kind().pool();
        long nonIdempotentDelay = policy.health().nonIdempotentProbeDelay().toNanos();
        Optional<KindPool.PoolMember> probe = pool.findFreeOnProbation(queue.isIdempotent(), nonIdempotentDelay, now);
        if (probe.isPresent()) {
            return probe;
        }
        double margin = policy.speed().waitMargin();
        return pool.findFastestFree().filter(member -> !pool.isWaitingFaster(member, tasksAhead, margin));
    }

    /** Removes the chosen task and charges its expected slot time to its kind, team and urgency class. */
    TaskSpec dequeue(Choice choice, double expectedSeconds) {
        SubmissionQueue queue = choice.queue();
        KindQueue kindQueue = queue.kindQueue();
        TeamQueue team = queue.teamQueue();
        FairQueue<KindQueue> kindOrder = urgencyClasses.get(kindQueue.urgency()).kindQueues();
        kindOrder.startService(kindQueue);
        kindQueue.teamOrder().startService(team);
        kindQueue.removeFromTeamQueue(queue);
        TaskSpec task = queue.poll();
        kindQueue.kind().addWaitingTasks(-1);
        charge(kindQueue, team, expectedSeconds);
        adjustCredits(kindQueue.urgency(), choice.usesOverdueShare(), expectedSeconds);
        if (queue.size() > 0) {
            kindQueue.addToTeamQueue(queue, policy.order().dueTimeFactor());
        } else {
            kindQueue.remove(queue);
            submissionQueues.remove(queue.id());
            if (kindQueue.isEmpty()) {
                kindOrder.remove(kindQueue);
            }
        }
        return task;
    }

    /**
     * Charges slot time to a kind, divided by its weight, and to a team; a negative time corrects an earlier charge.
     */
    void charge(KindQueue kindQueue, TeamQueue team, double seconds) {
        kindQueue.teamOrder().charge(team, seconds);
        urgencyClasses
                .get(kindQueue.urgency())
                .kindQueues()
                .charge(kindQueue, seconds / kindQueue.kind().row().weight());
    }

    /**
     * Adjusts credits for a placed task: a class that uses its overdue share spends credit, otherwise less urgent
     * classes earn it.
     */
    private void adjustCredits(Urgency served, boolean usesOverdueShare, double seconds) {
        double share = policy.order().overdueShare();
        if (usesOverdueShare) {
            urgencyClasses.get(served).spendCredit(seconds * (1 - share));
            return;
        }
        urgencyClasses.forEach((urgency, urgencyClass) -> {
            if (urgency.compareTo(served) > 0) {
                urgencyClass.addCredit(seconds * share);
            }
        });
    }

    Collection<SubmissionId> findSubmissions(KindState kind) {
        List<SubmissionId> found = new ArrayList<>();
        kindQueues.values().stream()
                .filter(kindQueue -> kindQueue.kind() == kind)
                .forEach(kindQueue -> kindQueue.submissionQueues().forEach(queue -> found.add(queue.id())));
        return found;
    }

    void removeIdleTeams() {
        kindQueues.values().forEach(KindQueue::removeIdleTeams);
    }

    /** Counter of the waiting tasks of the submissions checked so far, which compete for the faster back ends. */
    private static final class TaskCounter {
        private int count;
    }

    /**
     * Key of a {@link KindQueue}.
     *
     * @param urgency the urgency of its tasks
     * @param kind the name of their kind
     */
    private record KindQueueKey(Urgency urgency, String kind) {}
}
