package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Waiting tasks of one kind of task and one urgency; the teams with such tasks get equal shares of slot time.
 *
 * <p>A team's start tag grows by the slot time charged to it; the virtual time is the highest start tag served so far.
 * Due times order the submissions of a team.
 */
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

    TeamQueue getOrCreateTeamQueue(String name, LimitUsage usage) {
        TeamQueue team = teamQueues.computeIfAbsent(name, key -> new TeamQueue(key, usage, nextSequenceNumber++));
        team.setUsage(usage);
        return team;
    }

    /** Returns when the submission that has waited longest was enqueued, in nanoseconds since the epoch. */
    long oldestWaitingSince() {
        return submissionQueues.values().iterator().next().waitingSince();
    }

    /**
     * Recomputes the due time of a submission and adds the submission to the queue of its team.
     *
     * @param dueTimeFactor the multiple of the expected run time after which the submission is due
     */
    void addToTeamQueue(SubmissionQueue queue, double dueTimeFactor) {
        submissionQueues.putIfAbsent(queue.id(), queue);
        queue.updateDueTime(dueTimeFactor);
        queue.teamQueue().submissionQueues().add(queue);
        teamOrder.add(queue.teamQueue());
    }

    /**
     * Removes a submission from the queue of its team. Needed before its tasks change, because that queue is sorted by
     * due time, which depends on them.
     */
    void removeFromTeamQueue(SubmissionQueue queue) {
        TeamQueue team = queue.teamQueue();
        team.submissionQueues().remove(queue);
        if (team.submissionQueues().isEmpty()) {
            teamOrder.remove(team);
        }
    }

    /** Removes a submission, which must no longer be in the queue of its team. */
    void remove(SubmissionQueue queue) {
        submissionQueues.remove(queue.id());
    }

    /**
     * Removes the teams without waiting or placed tasks. Teams whose start tag is beyond the virtual time are kept, so
     * that their used slot time still counts when they submit again.
     */
    void removeIdleTeams() {
        teamQueues.values().removeIf(team -> team.isIdle() && teamOrder.isAtOrBeforeVirtualTime(team));
    }
}
