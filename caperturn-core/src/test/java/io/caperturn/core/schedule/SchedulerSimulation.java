package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * Simulation in virtual time of a scheduler and its back ends (sidecar processes with their upstreams), with configured
 * service times (100 ms by default) and outcomes.
 */
final class SchedulerSimulation {
    static final Duration TASK_TIMEOUT = Duration.ofSeconds(30);
    private static final Instant START = Instant.EPOCH;

    private final FairScheduler scheduler;
    private final Map<String, KindRow> kinds = new HashMap<>();
    private final Map<String, TeamRow> teams = new HashMap<>();
    private final PriorityQueue<Run> runs =
            new PriorityQueue<>(Comparator.comparing(Run::end).thenComparing(Run::number));
    private final List<Run> history = new ArrayList<>();
    private final Map<SubmissionId, Submission> submissions = new HashMap<>();
    private Function<ProcessId, PlacementOutcome> outcomes = sidecar -> PlacementOutcome.COMPLETED;
    private Function<TaskPlacement, Duration> serviceTimes = placement -> Duration.ofMillis(100);
    private Instant now = START;

    SchedulerSimulation() {
        this(SchedulerPolicy.DEFAULT);
    }

    SchedulerSimulation(SchedulerPolicy policy) {
        scheduler = new FairScheduler(policy);
    }

    /** Run of a task at the back end at which the scheduler placed it, numbered in order of placement. */
    record Run(int number, TaskPlacement placement, Instant start, Instant end, PlacementOutcome outcome) {
        String kind() {
            return kindOf(placement);
        }

        String team() {
            return placement.task().submission().team();
        }

        String backend() {
            return placement.sidecar().name();
        }
    }

    /** Returns the kind of a placed task: the text before the first hyphen in the key of its submission. */
    private static String kindOf(TaskPlacement placement) {
        return placement.task().submission().key().split("-")[0];
    }

    FairScheduler scheduler() {
        return scheduler;
    }

    Instant now() {
        return now;
    }

    List<Run> history() {
        return history;
    }

    SchedulerSimulation kind(String kind, int weight, Urgency urgency, Limits limits) {
        kinds.put(kind, new KindRow(kind, weight, urgency, limits, TASK_TIMEOUT, /* rowVersion= */ 1));
        return tableChanged();
    }

    SchedulerSimulation kind(String kind, Urgency urgency) {
        return kind(kind, 1, urgency, Limits.NONE);
    }

    SchedulerSimulation team(String team, Limits limits) {
        teams.put(team, new TeamRow(team, limits, /* rowVersion= */ 1));
        return tableChanged();
    }

    private SchedulerSimulation tableChanged() {
        scheduler.tableChanged(new Table(/* version= */ 1, kinds, teams), now);
        return this;
    }

    /**
     * Adds or changes a back end that serves all kinds added so far.
     *
     * @param name the name of both the sidecar and the upstream
     * @param slots the number of tasks that the upstream runs at once
     * @param window the maximum number of outstanding tasks
     */
    SchedulerSimulation backend(String name, int slots, int window) {
        UpstreamDescription upstream = new UpstreamDescription(
                name,
                Set.copyOf(kinds.keySet()),
                slots,
                /* connections= */ 64,
                /* worker= */ "w",
                /* rack= */ "r",
                /* availabilityZone= */ "z");
        scheduler.sidecarChanged(sidecar(name), upstream, /* serving= */ true, window, now);
        return this;
    }

    /** Sets the service times by the name of the back end. */
    SchedulerSimulation serviceTime(Function<String, Duration> byBackend) {
        serviceTimes = placement -> byBackend.apply(placement.sidecar().name());
        return this;
    }

    /** Sets the service times by the name of the kind. */
    SchedulerSimulation serviceTimeByKind(Function<String, Duration> byKind) {
        serviceTimes = placement -> byKind.apply(kindOf(placement));
        return this;
    }

    /** Sets the outcomes of placements by the name of the back end. */
    SchedulerSimulation outcomes(Function<String, PlacementOutcome> byBackend) {
        outcomes = sidecar -> byBackend.apply(sidecar.name());
        return this;
    }

    static ProcessId sidecar(String name) {
        return new ProcessId(name, /* incarnation= */ 1);
    }

    /** Returns a submission of a number of tasks, whose key in the simulation is the kind, a hyphen and {@code key}. */
    Submission submission(String team, String kind, String key, int tasks) {
        return submission(team, kind, key, tasks, Repeatability.AT_MOST_ONCE, /* deadline= */ Duration.ofMinutes(10));
    }

    Submission submission(
            String team, String kind, String key, int tasks, Repeatability repeatability, Duration deadline) {
        List<TaskSpec> specs = IntStream.range(0, tasks)
                .mapToObj(index -> new TaskSpec("t" + index, Optional.empty(), "{}"))
                .toList();
        return new Submission(
                new SubmissionId(team, kind + "-" + key),
                kind,
                Optional.empty(),
                repeatability,
                now.plus(deadline),
                /* digest= */ "d",
                specs);
    }

    /** Asks the scheduler for admission and enqueues all tasks of an admitted submission. */
    AdmissionDecision submit(Submission submission) {
        AdmissionDecision admission = scheduler.admit(submission, now);
        if (admission instanceof AdmissionDecision.Admitted) {
            submissions.put(submission.id(), submission);
            scheduler.enqueue(submission, submission.tasks(), now);
        }
        return admission;
    }

    AdmissionDecision submit(String team, String kind, String key, int tasks) {
        return submit(submission(team, kind, key, tasks));
    }

    /** Places the tasks that can be placed now, and schedules the end of their runs. */
    List<TaskPlacement> place() {
        List<TaskPlacement> placements = scheduler.place(now);
        for (TaskPlacement placement : placements) {
            Run run = new Run(
                    history.size(),
                    placement,
                    now,
                    now.plus(serviceTimes.apply(placement)),
                    outcomes.apply(placement.sidecar()));
            history.add(run);
            runs.add(run);
        }
        return placements;
    }

    /** Runs to a time, counted from the start; places tasks when a run ends and every 50 ms. */
    SchedulerSimulation runUntil(Duration sinceStart) {
        Instant until = START.plus(sinceStart);
        Instant tick = now;
        place();
        while (now.isBefore(until)) {
            tick = now.isBefore(tick) ? tick : tick.plusMillis(50);
            Instant next = !runs.isEmpty() && runs.peek().end().isBefore(tick)
                    ? runs.peek().end()
                    : tick;
            now = next.isAfter(until) ? until : next;
            scheduler.findUnservableSubmissions(now);
            while (!runs.isEmpty() && !runs.peek().end().isAfter(now)) {
                Run run = runs.poll();
                Duration serviceTime = Duration.between(run.start(), run.end());
                scheduler.placementFinished(
                        run.placement().task(), run.placement().sidecar(), run.outcome(), serviceTime, now);
            }
            place();
        }
        return this;
    }

    /**
     * Returns the number of runs that started between two times, counted from the start, by the value of a property.
     */
    Map<String, Integer> count(Function<Run, String> property, Duration from, Duration to) {
        Map<String, Integer> counts = new HashMap<>();
        history.stream()
                .filter(run ->
                        !run.start().isBefore(START.plus(from)) && run.start().isBefore(START.plus(to)))
                .forEach(run -> counts.merge(property.apply(run), 1, Integer::sum));
        return counts;
    }

    /** Returns the maximum number of matching runs that were in progress at the same time. */
    int maximumConcurrent(Function<Run, Boolean> match) {
        return history.stream()
                .filter(match::apply)
                .mapToInt(run -> (int) history.stream()
                        .filter(other -> match.apply(other)
                                && !other.start().isAfter(run.start())
                                && other.end().isAfter(run.start()))
                        .count())
                .max()
                .orElse(0);
    }
}
