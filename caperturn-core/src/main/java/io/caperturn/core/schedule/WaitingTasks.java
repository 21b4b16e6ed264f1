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

/** Order of the waiting tasks: urgency, fair share of kinds, fair share of teams, then submissions by due time. */
final class WaitingTasks {
    private static final int CONSIDERED_SUBMISSIONS_OF_A_TEAM = 4;

    private final SchedulerPolicy policy;
    private final Map<Urgency, UrgencyClass> classes = new EnumMap<>(Urgency.class);
    private final Map<LaneKey, Lane> lanes = new LinkedHashMap<>();
    private final Map<SubmissionId, SubmissionQueue> queues = new HashMap<>();
    private int nextSequence;

    WaitingTasks(SchedulerPolicy policy) {
        this.policy = policy;
        SchedulerPolicy.Order order = policy.order();
        long normalWait = order.normalWait().toNanos();
        classes.put(Urgency.URGENT, new UrgencyClass(Long.MAX_VALUE, Long.MAX_VALUE));
        classes.put(Urgency.NORMAL, new UrgencyClass(normalWait, normalWait));
        classes.put(
                Urgency.BACKGROUND,
                new UrgencyClass(
                        order.backgroundWait().toNanos(),
                        order.longestBackgroundWait().toNanos()));
    }

    /**
     * A task that can be placed.
     *
     * @param queue the submission
     * @param seat the back end
     * @param overdue true if its class goes before more urgent ones
     */
    record Choice(SubmissionQueue queue, KindPool.Seat seat, boolean overdue) {}

    void add(Submission submission, List<TaskSpec> tasks, KindState kind, LimitUsage team, long now) {
        SubmissionQueue known = queues.get(submission.id());
        if (known != null) {
            known.lane().leave(known);
            known.add(tasks);
            enter(known, tasks.size());
            return;
        }
        Urgency urgency = submission.urgency().orElse(kind.row().urgency());
        Lane lane = lanes.computeIfAbsent(
                new LaneKey(urgency, kind.row().kind()), key -> new Lane(kind, urgency, nextSequence++));
        TeamQueue teamQueue = lane.team(submission.id().team(), team);
        SubmissionQueue queue = new SubmissionQueue(submission, lane, teamQueue, now, nextSequence++);
        queue.add(tasks);
        queues.put(queue.id(), queue);
        enter(queue, tasks.size());
    }

    private void enter(SubmissionQueue queue, int added) {
        Lane lane = queue.lane();
        lane.enter(queue, policy.order().stretch());
        lane.kind().waits(added);
        classes.get(lane.urgency()).lanes().add(lane);
    }

    /** Takes a submission out and returns its queue with the tasks that waited. */
    Optional<SubmissionQueue> remove(SubmissionId submission) {
        SubmissionQueue queue = queues.remove(submission);
        if (queue == null) {
            return Optional.empty();
        }
        Lane lane = queue.lane();
        lane.leave(queue);
        lane.forget(queue);
        lane.kind().waits(-queue.size());
        if (lane.isEmpty()) {
            classes.get(lane.urgency()).lanes().remove(lane);
        }
        return Optional.of(queue);
    }

    /** Moves the waiting work of a kind, as far as it has no urgency of its own, after the kind's urgency changed. */
    void reclassify(KindRow before, KindState kind, long now) {
        Lane lane = lanes.get(new LaneKey(before.urgency(), before.kind()));
        if (lane == null || before.urgency() == kind.row().urgency()) {
            return;
        }
        for (SubmissionQueue queue : List.copyOf(lane.submissions())) {
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

    /** Returns the next task in order that a free back end and the limits allow. */
    Optional<Choice> choose(long now) {
        UrgencyClass urgent = classes.get(Urgency.URGENT);
        UrgencyClass normal = classes.get(Urgency.NORMAL);
        UrgencyClass background = classes.get(Urgency.BACKGROUND);
        boolean backgroundIsDue = background.isDueBeforeNext(now);
        boolean normalIsDue = normal.isDueBeforeNext(now);
        Optional<Choice> choice = Optional.empty();
        if (background.isDueBeforeAll(now)) {
            choice = choose(background, new Ahead(), true, now);
        }
        if (choice.isEmpty() && normalIsDue) {
            choice = choose(normal, new Ahead(), true, now);
        }
        Ahead ahead = new Ahead();
        if (choice.isEmpty()) {
            choice = choose(urgent, ahead, false, now);
        }
        if (choice.isEmpty() && backgroundIsDue) {
            choice = choose(background, new Ahead(), true, now);
        }
        if (choice.isEmpty()) {
            choice = choose(normal, ahead, false, now);
        }
        return choice.isPresent() ? choice : choose(background, ahead, false, now);
    }

    private Optional<Choice> choose(UrgencyClass urgencyClass, Ahead ahead, boolean overdue, long now) {
        List<Lane> limited = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (Lane lane : urgencyClass.lanes()) {
            if (!lane.kind().usage().mayStart(now)) {
                limited.add(lane);
            } else if (lane.kind().pool().hasFree()) {
                choice = choose(lane, ahead, overdue, now);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        limited.forEach(urgencyClass.lanes()::catchUp);
        return choice;
    }

    private Optional<Choice> choose(Lane lane, Ahead ahead, boolean overdue, long now) {
        List<TeamQueue> limited = new ArrayList<>(0);
        Optional<Choice> choice = Optional.empty();
        for (TeamQueue team : lane.order()) {
            if (team.usage().mayStart(now)) {
                choice = choose(team, ahead, overdue, now);
            } else {
                limited.add(team);
            }
            if (choice.isPresent()) {
                break;
            }
        }
        limited.forEach(lane.order()::catchUp);
        return choice;
    }

    private Optional<Choice> choose(TeamQueue team, Ahead ahead, boolean overdue, long now) {
        int considered = 0;
        for (SubmissionQueue queue : team.submissions()) {
            if (++considered > CONSIDERED_SUBMISSIONS_OF_A_TEAM) {
                break;
            }
            ahead.tasks += queue.size();
            Optional<KindPool.Seat> seat = choose(queue, ahead.tasks, now);
            if (seat.isPresent()) {
                return Optional.of(new Choice(queue, seat.get(), overdue));
            }
        }
        return Optional.empty();
    }

    private Optional<KindPool.Seat> choose(SubmissionQueue queue, int ahead, long now) {
        KindPool pool = queue.lane().kind().pool();
        long patience = policy.health().probePatience().toNanos();
        Optional<KindPool.Seat> probe = pool.findProbe(queue.isIdempotent(), patience, now);
        if (probe.isPresent()) {
            return probe;
        }
        double margin = policy.speed().waitMargin();
        return pool.fastestFree().filter(seat -> !pool.waitingPays(seat, ahead, margin));
    }

    /** Takes the first task of the chosen submission and charges for it. */
    TaskSpec take(Choice choice, double expectedSeconds) {
        SubmissionQueue queue = choice.queue();
        Lane lane = queue.lane();
        TeamQueue team = queue.team();
        FairQueue<Lane> order = classes.get(lane.urgency()).lanes();
        order.served(lane);
        lane.order().served(team);
        lane.leave(queue);
        TaskSpec task = queue.poll();
        lane.kind().waits(-1);
        charge(lane, team, expectedSeconds);
        chargeClasses(lane.urgency(), choice.overdue(), expectedSeconds);
        if (queue.size() > 0) {
            lane.enter(queue, policy.order().stretch());
        } else {
            lane.forget(queue);
            queues.remove(queue.id());
            if (lane.isEmpty()) {
                order.remove(lane);
            }
        }
        return task;
    }

    /** Charges slot time to a kind and team; a negative time corrects an earlier charge. */
    void charge(Lane lane, TeamQueue team, double seconds) {
        lane.order().charge(team, seconds);
        classes.get(lane.urgency())
                .lanes()
                .charge(lane, seconds / lane.kind().row().weight());
    }

    private void chargeClasses(Urgency served, boolean overdue, double seconds) {
        double share = policy.order().overdueShare();
        if (overdue) {
            classes.get(served).spend(seconds * (1 - share));
            return;
        }
        classes.forEach((urgency, urgencyClass) -> {
            if (urgency.compareTo(served) > 0) {
                urgencyClass.credit(seconds * share);
            }
        });
    }

    Collection<SubmissionId> submissionsOf(KindState kind) {
        List<SubmissionId> found = new ArrayList<>();
        lanes.values().stream()
                .filter(lane -> lane.kind() == kind)
                .forEach(lane -> lane.submissions().forEach(queue -> found.add(queue.id())));
        return found;
    }

    void forgetIdleTeams() {
        lanes.values().forEach(Lane::forgetIdleTeams);
    }

    /** Number of tasks that were passed over because waiting for a faster back end pays for them. */
    private static final class Ahead {
        private int tasks;
    }

    /**
     * Identity of a lane.
     *
     * @param urgency the urgency
     * @param kind the kind
     */
    private record LaneKey(Urgency urgency, String kind) {}
}
