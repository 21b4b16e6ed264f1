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

/** A scheduler with back ends that take the time they are told to, in virtual time. */
final class SchedulerBench {
    static final Duration TASK_TIMEOUT = Duration.ofSeconds(30);
    private static final Instant START = Instant.EPOCH;

    private final FairScheduler scheduler;
    private final Map<String, KindRow> kinds = new HashMap<>();
    private final Map<String, TeamRow> teams = new HashMap<>();
    private final PriorityQueue<Run> runs =
            new PriorityQueue<>(Comparator.comparing(Run::end).thenComparing(Run::number));
    private final List<Run> history = new ArrayList<>();
    private final Map<SubmissionId, Submission> submissions = new HashMap<>();
    private Function<ProcessId, PlacementOutcome> ends = sidecar -> PlacementOutcome.COMPLETED;
    private Function<TaskPlacement, Duration> services = placement -> Duration.ofMillis(100);
    private Instant now = START;

    SchedulerBench() {
        this(SchedulerPolicy.DEFAULT);
    }

    SchedulerBench(SchedulerPolicy policy) {
        scheduler = new FairScheduler(policy);
    }

    /** A placement and how it will end. */
    record Run(int number, TaskPlacement placement, Instant start, Instant end, PlacementOutcome how) {
        String kind() {
            return kindOf(placement);
        }

        String team() {
            return placement.task().submission().team();
        }

        String back() {
            return placement.sidecar().name();
        }
    }

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

    SchedulerBench kind(String kind, int weight, Urgency urgency, Limits limits) {
        kinds.put(kind, new KindRow(kind, weight, urgency, limits, TASK_TIMEOUT, 1));
        return tableChanged();
    }

    SchedulerBench kind(String kind, Urgency urgency) {
        return kind(kind, 1, urgency, Limits.NONE);
    }

    SchedulerBench team(String team, Limits limits) {
        teams.put(team, new TeamRow(team, limits, 1));
        return tableChanged();
    }

    private SchedulerBench tableChanged() {
        scheduler.tableChanged(new Table(1, kinds, teams), now);
        return this;
    }

    SchedulerBench backend(String name, int slots, int window) {
        UpstreamDescription upstream =
                new UpstreamDescription(name, Set.copyOf(kinds.keySet()), slots, 64, "w", "r", "z");
        scheduler.sidecarChanged(sidecar(name), upstream, true, window, now);
        return this;
    }

    SchedulerBench service(Function<String, Duration> byName) {
        services = placement -> byName.apply(placement.sidecar().name());
        return this;
    }

    SchedulerBench serviceByKind(Function<String, Duration> byKind) {
        services = placement -> byKind.apply(kindOf(placement));
        return this;
    }

    SchedulerBench ends(Function<String, PlacementOutcome> byName) {
        ends = sidecar -> byName.apply(sidecar.name());
        return this;
    }

    static ProcessId sidecar(String name) {
        return new ProcessId(name, 1);
    }

    Submission submission(String team, String kind, String key, int tasks) {
        return submission(team, kind, key, tasks, Repeatability.AT_MOST_ONCE, Duration.ofMinutes(10));
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
                "d",
                specs);
    }

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

    /** Places what can be placed now. */
    List<TaskPlacement> place() {
        List<TaskPlacement> placements = scheduler.place(now);
        for (TaskPlacement placement : placements) {
            Run run = new Run(
                    history.size(),
                    placement,
                    now,
                    now.plus(services.apply(placement)),
                    ends.apply(placement.sidecar()));
            history.add(run);
            runs.add(run);
        }
        return placements;
    }

    /** Runs until a time after the start, placing after each end and every 50 ms. */
    SchedulerBench runUntil(Duration time) {
        Instant until = START.plus(time);
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
                Duration service = Duration.between(run.start(), run.end());
                scheduler.placementFinished(run.placement().task(), run.placement().sidecar(), run.how(), service, now);
            }
            place();
        }
        return this;
    }

    /** Returns how many runs there were between two times, by a property of theirs. */
    Map<String, Integer> count(Function<Run, String> by, Duration from, Duration to) {
        Map<String, Integer> counts = new HashMap<>();
        history.stream()
                .filter(run ->
                        !run.start().isBefore(START.plus(from)) && run.start().isBefore(START.plus(to)))
                .forEach(run -> counts.merge(by.apply(run), 1, Integer::sum));
        return counts;
    }

    /** Returns the most runs at the same time among those that match. */
    int mostAtOnce(Function<Run, Boolean> match) {
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
