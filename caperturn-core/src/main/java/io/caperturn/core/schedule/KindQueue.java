package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Waiting tasks of one kind and one urgency; the teams of the kind get equal shares of slot time. */
final class KindQueue extends FairQueue.Member {
    private final KindState kind;
    private final Urgency urgency;
    private final FairQueue<TeamQueue> teamOrder = new FairQueue<>();
    private final Map<String, TeamQueue> teams = new HashMap<>();
    private final Map<SubmissionId, SubmissionQueue> submissions = new LinkedHashMap<>();
    private int nextSequence;

    KindQueue(KindState kind, Urgency urgency, int sequence) {
        super(sequence);
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

    Collection<SubmissionQueue> submissions() {
        return submissions.values();
    }

    boolean isEmpty() {
        return submissions.isEmpty();
    }

    TeamQueue team(String name, LimitUsage usage) {
        TeamQueue team = teams.computeIfAbsent(name, key -> new TeamQueue(key, usage, nextSequence++));
        team.setUsage(usage);
        return team;
    }

    /**
     * Returns the time at which the submission that has waited longest was enqueued, in nanoseconds since the epoch.
     */
    long oldestWaitingSince() {
        return submissions.values().iterator().next().waitingSince();
    }

    /** Computes the due time of a submission and adds the submission to the order of its team. */
    void addToOrder(SubmissionQueue queue, double stretch) {
        submissions.putIfAbsent(queue.id(), queue);
        queue.updateDueTime(stretch);
        queue.team().submissions().add(queue);
        teamOrder.add(queue.team());
    }

    /**
     * Removes a submission from the order of its team. Required before its due time changes, because the order is
     * sorted by due time.
     */
    void removeFromOrder(SubmissionQueue queue) {
        TeamQueue team = queue.team();
        team.submissions().remove(queue);
        if (team.submissions().isEmpty()) {
            teamOrder.remove(team);
        }
    }

    /** Removes a submission that is in no team's order. */
    void remove(SubmissionQueue queue) {
        submissions.remove(queue.id());
    }

    /**
     * Removes teams that have no waiting or placed tasks. A team whose start tag is beyond the virtual time is kept, so
     * that it is still charged for the slot time it used.
     */
    void removeIdleTeams() {
        teams.values().removeIf(team -> team.isIdle() && teamOrder.isAtOrBeforeVirtualTime(team));
    }
}
