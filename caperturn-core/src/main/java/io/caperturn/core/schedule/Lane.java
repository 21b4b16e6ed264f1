package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Urgency;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Waiting work of one kind under one urgency, shared fairly between teams. */
final class Lane extends FairQueue.Member {
    private final KindState kind;
    private final Urgency urgency;
    private final FairQueue<TeamQueue> order = new FairQueue<>();
    private final Map<String, TeamQueue> teams = new HashMap<>();
    private final Map<SubmissionId, SubmissionQueue> submissions = new LinkedHashMap<>();
    private int nextSequence;

    Lane(KindState kind, Urgency urgency, int sequence) {
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

    FairQueue<TeamQueue> order() {
        return order;
    }

    Collection<SubmissionQueue> submissions() {
        return submissions.values();
    }

    boolean isEmpty() {
        return submissions.isEmpty();
    }

    TeamQueue team(String name, LimitUsage usage) {
        TeamQueue team = teams.computeIfAbsent(name, key -> new TeamQueue(key, usage, nextSequence++));
        team.rebind(usage);
        return team;
    }

    /** Returns since when the longest waiting submission has waited, in nanoseconds. */
    long oldest() {
        return submissions.values().iterator().next().since();
    }

    void enter(SubmissionQueue queue, double stretch) {
        submissions.putIfAbsent(queue.id(), queue);
        queue.updateDue(stretch);
        queue.team().submissions().add(queue);
        order.add(queue.team());
    }

    /** Takes a submission out, before it changes or for good. */
    void leave(SubmissionQueue queue) {
        TeamQueue team = queue.team();
        team.submissions().remove(queue);
        if (team.submissions().isEmpty()) {
            order.remove(team);
        }
    }

    void forget(SubmissionQueue queue) {
        submissions.remove(queue.id());
    }

    /** Forgets teams that have nothing waiting or placed and nothing to pay back. */
    void forgetIdleTeams() {
        teams.values().removeIf(team -> team.isIdle() && order.isBehind(team));
    }
}
