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

/** Waiting tasks, ordered by urgency, then by fair share of kinds, by fair share of teams and by due time. */
final class FairTaskQueue {
    /** Bounds the time of a choice when no back end is suitable for the first submissions of a team. */
    private static final int MAXIMUM_SUBMISSIONS_CHECKED_PER_TEAM = 4;

    private final SchedulerPolicy policy;
    private final Map<Urgency, UrgencyClass> classes = new EnumMap<>(Urgency.class);
    private final Map<KindQueueKey, KindQueue> kindQueues = new LinkedHashMap<>();
    private final Map<SubmissionId, SubmissionQueue> queues = new HashMap<>();
    private int nextSequence;

    FairTaskQueue(SchedulerPolicy policy) {
        this.policy = policy;
        SchedulerPolicy.OrderPolicy order = policy.order();
        long normalWait = order.normalWait().toNanos();
        classes.put(Urgency.URGENT, new UrgencyClass(Long.MAX_VALUE, Long.MAX_VALUE));
        classes.put(Urgency.NORMAL, new UrgencyClass(normalWait, normalWait));
        classes.put(
                Urgency.BACKGROUND,
                new UrgencyClass(
                        order.backgroundWait().toNanos(),
                        order.backgroundWaitBeforeUrgent().toNanos()));
    }

    /**
     * Choice of the next task and the back end for it.
     *
     * @param queue the queue of the submission whose first task is placed
     * @param member the back end
     * @param usesOverdueShare true if the task is served ahead of more urgent ones, from the overdue share of slot time
     */
    record Choice(SubmissionQueue queue, KindPool.PoolMember member, boolean usesOverdueShare) {}

    void add(Submission submission, List<TaskSpec> tasks, KindState kind, LimitUsage team, long now) {
        SubmissionQueue existing = queues.get(submission.id());
        if (existing != null) {
            existing.kindQueue().removeFromOrder(existing);
            existing.add(tasks);
            addToOrder(existing, tasks.size());
            return;
        }
        Urgency urgency = submission.urgency().orElse(kind.row().urgency());
        KindQueue kindQueue = kindQueues.computeIfAbsent(
                new KindQueueKey(urgency, kind.row().kind()), key -> new KindQueue(kind, urgency, nextSequence++));
        TeamQueue teamQueue = kindQueue.team(submission.id().team(), team);
        SubmissionQueue queue = new SubmissionQueue(submission, kindQueue, teamQueue, now, nextSequence++);
        queue.add(tasks);
        queues.put(queue.id(), queue);
        addToOrder(queue, tasks.size());
    }

    private void addToOrder(SubmissionQueue queue, int addedTasks) {
        KindQueue kindQueue = queue.kindQueue();
        kindQueue.addToOrder(queue, policy.order().stretch());
        kindQueue.kind().addWaiting(addedTasks);
        classes.get(kindQueue.urgency()).kindQueues().add(kindQueue);
    }

    /** Removes a submission and returns its queue with the tasks that were waiting. */
    Optional<SubmissionQueue> remove(SubmissionId submission) {
        SubmissionQueue queue = queues.remove(submission);
        if (queue == null) {
            return Optional.empty();
        }
        KindQueue kindQueue = queue.kindQueue();
        kindQueue.removeFromOrder(queue);
        kindQueue.remove(queue);
        kindQueue.kind().addWaiting(-queue.size());
        if (kindQueue.isEmpty()) {
            classes.get(kindQueue.urgency()).kindQueues().remove(kindQueue);
        }
        return Optional.of(queue);
    }

    /** Moves the waiting submissions of a kind to its new urgency, except for those that request an urgency. */
    void reclassify(KindRow previousRow, KindState kind, long now) {
        KindQueue kindQueue = kindQueues.get(new KindQueueKey(previousRow.urgency(), previousRow.kind()));
        if (kindQueue == null || previousRow.urgency() == kind.row().urgency()) {
            return;
        }
        for (SubmissionQueue queue : List.copyOf(kindQueue.submissions())) {
            if (queue.submission().urgency().isEmpty()) {
                remove(queue.id());
                List<TaskSpec> tasks = new ArrayList<>();
                while (queue.size() > 0) {
                    tasks.add(queue.poll());
                }
                add(queue.submission(), tasks, kind, queue.team().usage(), now);
            }
        }
    }

    /**
     * Returns the first task in order that the limits allow to start and for which a back end is free.
     *
     * <p>An urgency class is overdue if its tasks have waited too long; it then comes ahead of more urgent ones as far
     * as the overdue share of slot time allows.
     */
    Optional<Choice> choose(long now) {
        UrgencyClass urgent = classes.get(Urgency.URGENT);
        UrgencyClass normal = classes.get(Urgency.NORMAL);
        UrgencyClass background = classes.get(Urgency.BACKGROUND);
        boolean isBackgroundDue = background.isAheadOfNext(now);
        boolean isNormalDue = normal.isAheadOfNext(now);
        Optional<Choice> choice = Optional.empty();
        if (background.isAheadOfAll(now)) {
            choice = choose(background, new TasksAhead(), true, now);
        }
        if (choice.isEmpty() && isNormalDue) {
            choice = choose(normal, new TasksAhead(), true, now);
        }
        TasksAhead tasksAhead = new TasksAhead();
        if (choice.isEmpty()) {
            choice = choose(urgent, tasksAhead, false, now);
        }
        if (choice.isEmpty() && isBackgroundDue) {
            choice = choose(background, new TasksAhead(), true, now);
        }
        if (choice.isEmpty()) {
            choice = choose(normal, tasksAhead, false, now);
        }
        return choice.isPresent() ? choice : choose(background, tasksAhead, false, now);
    }

    private Optional<Choice> choose(
            UrgencyClass urgencyClass, TasksAhead tasksAhead, boolean usesOverdueShare, long now) {
        List<KindQueue> limited = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (KindQueue kindQueue : urgencyClass.kindQueues()) {
            if (!kindQueue.kind().usage().mayStart(now)) {
                limited.add(kindQueue);
            } else if (kindQueue.kind().pool().hasFreeBackend()) {
                choice = choose(kindQueue, tasksAhead, usesOverdueShare, now);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        limited.forEach(urgencyClass.kindQueues()::advanceToVirtualTime);
        return choice;
    }

    private Optional<Choice> choose(KindQueue kindQueue, TasksAhead tasksAhead, boolean usesOverdueShare, long now) {
        List<TeamQueue> limited = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (TeamQueue team : kindQueue.teamOrder()) {
            if (team.usage().mayStart(now)) {
                choice = choose(team, tasksAhead, usesOverdueShare, now);
            } else {
                limited.add(team);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        limited.forEach(kindQueue.teamOrder()::advanceToVirtualTime);
        return choice;
    }

    private Optional<Choice> choose(TeamQueue team, TasksAhead tasksAhead, boolean usesOverdueShare, long now) {
        int checked = 0;
        for (SubmissionQueue queue : team.submissions()) {
            if (++checked > MAXIMUM_SUBMISSIONS_CHECKED_PER_TEAM) {
                break;
            }
            tasksAhead.count += queue.size();
            Optional<KindPool.PoolMember> member = choose(queue, tasksAhead.count, now);
            if (member.isPresent()) {
                return Optional.of(new Choice(queue, member.get(), usesOverdueShare));
            }
        }
        return Optional.empty();
    }

    private Optional<KindPool.PoolMember> choose(SubmissionQueue queue, int tasksAhead, long now) {
        KindPool pool = queue.kindQueue().kind().pool();
        long nonIdempotentDelay = policy.health().nonIdempotentProbeDelay().toNanos();
        Optional<KindPool.PoolMember> probe = pool.findFreeOnProbation(queue.isIdempotent(), nonIdempotentDelay, now);
        if (probe.isPresent()) {
            return probe;
        }
        double margin = policy.speed().waitMargin();
        return pool.findFastestFree().filter(member -> !pool.isWaitingFaster(member, tasksAhead, margin));
    }

    /** Removes the first task of the chosen submission and charges its expected time to its kind, team and class. */
    TaskSpec dequeue(Choice choice, double expectedSeconds) {
        SubmissionQueue queue = choice.queue();
        KindQueue kindQueue = queue.kindQueue();
        TeamQueue team = queue.team();
        FairQueue<KindQueue> order = classes.get(kindQueue.urgency()).kindQueues();
        order.startService(kindQueue);
        kindQueue.teamOrder().startService(team);
        kindQueue.removeFromOrder(queue);
        TaskSpec task = queue.poll();
        kindQueue.kind().addWaiting(-1);
        charge(kindQueue, team, expectedSeconds);
        chargeClasses(kindQueue.urgency(), choice.usesOverdueShare(), expectedSeconds);
        if (queue.size() > 0) {
            kindQueue.addToOrder(queue, policy.order().stretch());
        } else {
            kindQueue.remove(queue);
            queues.remove(queue.id());
            if (kindQueue.isEmpty()) {
                order.remove(kindQueue);
            }
        }
        return task;
    }

    /** Charges slot time in seconds to a kind and a team; a negative time corrects an earlier charge. */
    void charge(KindQueue kindQueue, TeamQueue team, double seconds) {
        kindQueue.teamOrder().charge(team, seconds);
        classes.get(kindQueue.urgency())
                .kindQueues()
                .charge(kindQueue, seconds / kindQueue.kind().row().weight());
    }

    /** Adjusts the credit of the urgency classes after a task was served. */
    private void chargeClasses(Urgency served, boolean usesOverdueShare, double seconds) {
        double share = policy.order().overdueShare();
        if (usesOverdueShare) {
            classes.get(served).spendCredit(seconds * (1 - share));
            return;
        }
        classes.forEach((urgency, urgencyClass) -> {
            if (urgency.compareTo(served) > 0) {
                urgencyClass.addCredit(seconds * share);
            }
        });
    }

    Collection<SubmissionId> submissionsOf(KindState kind) {
        List<SubmissionId> found = new ArrayList<>();
        kindQueues.values().stream()
                .filter(kindQueue -> kindQueue.kind() == kind)
                .forEach(kindQueue -> kindQueue.submissions().forEach(queue -> found.add(queue.id())));
        return found;
    }

    void removeIdleTeams() {
        kindQueues.values().forEach(KindQueue::removeIdleTeams);
    }

    /** Counter of the waiting tasks of the submissions considered so far, which compete for the faster back ends. */
    private static final class TasksAhead {
        private int count;
    }

    /**
     * Key of a {@link KindQueue}.
     *
     * @param urgency the urgency
     * @param kind the kind
     */
    private record KindQueueKey(Urgency urgency, String kind) {}
}
