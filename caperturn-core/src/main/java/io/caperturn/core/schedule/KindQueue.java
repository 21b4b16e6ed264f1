package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Waiting tasks of one kind of task and one urgency; the teams with such tasks get equal shares of slot time. */
final class KindQueue extends FairQueue.Member {
    private final KindState kind;
    private final Urgency urgency;
    private final FairQueue<TeamQueue> teamOrder = new FairQueue<>();
    private final Map<String, TeamQueue> teamQueues = new HashMap<>();
    private final Map<SubmissionId, SubmissionQueue> submissionQueues = new LinkedHashMap<>();
    private int nextSequenceNumber;

    KindQueue(KindState kind, Urgency urgency, int sequenceNumber) {
        super(sequenceNumber);
        this.kind = kind;
        this.urgency = urgency;
    }

    KindState kind() {
        return kind;
    }

    Urgency urgency() {
        return urgency;
    }

    FairQueue<TeamQueue> teamOrder() {
        return teamOrder;
    }

    Collection<SubmissionQueue> submissionQueues() {
        return submissionQueues.values();
    }

    boolean isEmpty() {
        return submissionQueues.isEmpty();
    }

    TeamQueue teamQueue(String name, LimitUsage usage) {
        TeamQueue team = teamQueues.computeIfAbsent(name, key -> new TeamQueue(key, usage, nextSequenceNumber++));
        team.setUsage(usage);
        return team;
    }

    /** Returns when the submission that has waited longest was enqueued, in nanoseconds since the epoch. */
    long oldestWaitingSince() {
        return submissionQueues.values().iterator().next().waitingSince();
    }

    /** Recomputes the due time of a submission and adds it to the order of its team. */
    void addToOrder(SubmissionQueue queue, double dueTimeFactor) {
        submissionQueues.putIfAbsent(queue.id(), queue);
        queue.updateDueTime(dueTimeFactor);
        queue.teamQueue().submissionQueues().add(queue);
        teamOrder.add(queue.teamQueue());
    }

    /**
     * Removes a submission from the order of its team. This is necessary before its tasks change, because the order is
     * sorted by due time, which depends on them.
     */
    void removeFromOrder(SubmissionQueue queue) {
        TeamQueue team = queue.teamQueue();
        team.submissionQueues().remove(queue);
        if (team.submissionQueues().isEmpty()) {
            teamOrder.remove(team);
        }
    }

    /** Removes a submission, which must no longer be in the order of its team. */
    void remove(SubmissionQueue queue) {
        submissionQueues.remove(queue.id());
    }

    /**
     * Removes the teams that have no waiting or placed tasks, except for those whose start tag is beyond the virtual
     * time. Those are kept, so that slot time that they used still counts when they submit again.
     */
    void removeIdleTeams() {
        teamQueues.values().removeIf(team -> team.isIdle() && teamOrder.isAtOrBeforeVirtualTime(team));
    }
}
