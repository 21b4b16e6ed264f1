package io.caperturn.replay.trace;

import io.caperturn.core.model.Urgency;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.trace.SubmissionGenerator.EstimateAccuracy;
import io.caperturn.replay.trace.SubmissionGenerator.SubmissionProfile;
import io.caperturn.replay.trace.TraceEvent.FaultKind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Generates the predefined traces. The same seed gives the same trace. */
public final class TraceGenerator {
    private static final long TASK_TIMEOUT_MILLISECONDS = 60_000;
    private static final long URGENT_DEADLINE_MILLISECONDS = 60_000;
    private static final long DEADLINE_MILLISECONDS = 300_000;
    private static final double STRAGGLER_SPEED = 0.1;
    private static final int LARGE_JOB_TASKS = 1_800;
    private static final int CANCELLED_JOBS = 20;

    /** Share of each kind in the load. */
    private static final Map<String, Double> LOAD_SHARES =
            Map.of("fineness", 0.2, "assay", 0.45, "reconciliation", 0.25, "archive", 0.1);

    private final Deployment.Upstreams upstreams;
    private final double lengthMilliseconds;
    private final RandomGenerator random;
    private final List<TraceEvent> events = new ArrayList<>();
    private EstimateAccuracy accuracy = EstimateAccuracy.CLOSE;

    private TraceGenerator(Deployment.Upstreams upstreams, double lengthSeconds, long seed) {
        this.upstreams = upstreams;
        this.lengthMilliseconds = lengthSeconds * 1_000;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /**
     * Generates a trace.
     *
     * @param name the name of the trace
     * @param upstreams the upstreams for whose number of slots the load is generated
     * @param lengthSeconds the time during which submissions arrive, in seconds
     * @param seed seed of the random number generators
     * @return the trace
     */
    public static Trace generate(TraceName name, Deployment.Upstreams upstreams, double lengthSeconds, long seed) {
        return new TraceGenerator(upstreams, lengthSeconds, seed).generate(name);
    }

    private Trace generate(TraceName name) {
        List<Double> speeds = name == TraceName.HETEROGENEOUS ? List.of(1.0, 2.0, 3.0, 4.0) : List.of();
        Trace.Header header = new Trace.Header(
                name.label(), speeds, name == TraceName.LIMITS ? limitedKinds() : ordinaryKinds(), teams(name));
        double middle = lengthMilliseconds / 2;
        switch (name) {
            case STEADY_60 -> addSteadyLoad(0.6);
            case STEADY_90 -> addSteadyLoad(0.9);
            case BURST -> {
                addSteadyLoad(0.5);
                // Added to the steady load, nine times as much makes a burst of ten times the load.
                addLoad(0.5 * 9, middle, middle + 2_000);
            }
            case LARGE_JOB -> addLargeJob();
            case HETEROGENEOUS -> addSteadyLoad(0.8 * capacity(header) / upstreams.totalSlots());
            case STRAGGLER -> {
                addSteadyLoad(0.7);
                addFault(lengthMilliseconds / 4, FaultKind.SPEED, 3, STRAGGLER_SPEED);
            }
            case FAILING_WORKER -> {
                addSteadyLoad(0.7);
                addFault(lengthMilliseconds / 4, FaultKind.FAILING, 3, 0);
            }
            case WRONG_ESTIMATES -> {
                accuracy = EstimateAccuracy.WITHIN_FACTOR_TEN;
                addSteadyLoad(0.8);
            }
            case CANCELLATIONS -> addCancellations();
            case UPSTREAM_LOST -> {
                addSteadyLoad(0.7);
                addFault(middle, FaultKind.UPSTREAM_LOST, 3, 0);
            }
            case ENTRY_LOST -> {
                addSteadyLoad(0.7);
                addFault(middle, FaultKind.ENTRY_LOST, 1, 0);
            }
            case LIMITS -> {
                addSteadyLoad(0.8);
                addFault(middle, FaultKind.ENTRY_PAUSED, 1, 10_000);
            }
            case FAIRNESS -> addBacklog();
        }
        events.sort(Comparator.comparingDouble(TraceEvent::at));
        return new Trace(header, events);
    }

    private void addSteadyLoad(double load) {
        addLoad(load, 0, lengthMilliseconds);
    }

    /** Adds submissions of all kinds whose tasks keep a share of the slots busy, 1 for all slots. */
    private void addLoad(double load, double from, double to) {
        for (String kind : List.of("fineness", "assay", "reconciliation", "archive")) {
            double slots = load * upstreams.totalSlots() * LOAD_SHARES.get(kind);
            String prefix = kind + Math.round(from);
            new SubmissionGenerator(profile(kind).withAccuracy(accuracy), random)
                    .generateArrivals(from, to, slots).stream()
                            .map(TraceEvent.Arrival.class::cast)
                            .map(arrival -> withKeyPrefix(arrival, prefix))
                            .forEach(events::add);
        }
    }

    private void addLargeJob() {
        double urgentSlots = 0.3 * upstreams.totalSlots();
        events.addAll(new SubmissionGenerator(profile("fineness"), random)
                .generateArrivals(0, lengthMilliseconds, urgentSlots));
        events.add(new SubmissionGenerator(profile("reconciliation"), random)
                .generateSubmission(lengthMilliseconds / 10, LARGE_JOB_TASKS));
    }

    private void addCancellations() {
        addSteadyLoad(0.6);
        SubmissionGenerator source = new SubmissionGenerator(profile("reconciliation"), random);
        double at = lengthMilliseconds / 3;
        for (int job = 0; job < CANCELLED_JOBS; job++) {
            TraceEvent.Arrival arrival = withKeyPrefix(source.generateSubmission(at, 300), "wave");
            events.add(arrival);
            events.add(new TraceEvent.Cancellation(at + 2_000, arrival.team(), arrival.key()));
        }
    }

    private void addBacklog() {
        for (String kind : List.of("assay", "reconciliation")) {
            SubmissionGenerator source = new SubmissionGenerator(profile(kind), random);
            // A task takes 0.38 s on average, so each kind has 1.2 times the work that all slots can do.
            double tasks = 1.2 * lengthMilliseconds * upstreams.totalSlots() / 1_000 / 0.38;
            for (int job = 0; job < tasks / 100; job++) {
                events.add(withKeyPrefix(source.generateSubmission(job, 100), "backlog"));
            }
        }
    }

    private void addFault(double at, FaultKind kind, int target, double value) {
        events.add(new TraceEvent.Fault(at, kind, target, value));
    }

    private double capacity(Trace.Header header) {
        double sum = 0;
        for (int upstream = 0; upstream < upstreams.number(); upstream++) {
            sum += upstreams.slots() * header.speed(upstream);
        }
        return sum;
    }

    private static TraceEvent.Arrival withKeyPrefix(TraceEvent.Arrival arrival, String prefix) {
        return new TraceEvent.Arrival(
                arrival.at(),
                arrival.team(),
                prefix + "/" + arrival.key(),
                arrival.kind(),
                arrival.urgency(),
                arrival.idempotent(),
                arrival.deadlineMilliseconds(),
                arrival.tasks());
    }

    private static SubmissionProfile profile(String kind) {
        return switch (kind) {
            case "fineness" ->
                new SubmissionProfile(kind, 6, 1, 4, 0.5, URGENT_DEADLINE_MILLISECONDS, EstimateAccuracy.CLOSE);
            case "assay" -> new SubmissionProfile(kind, 6, 5, 50, 0, DEADLINE_MILLISECONDS, EstimateAccuracy.CLOSE);
            case "reconciliation" ->
                new SubmissionProfile(kind, 3, 20, 200, 0, DEADLINE_MILLISECONDS, EstimateAccuracy.CLOSE);
            default -> new SubmissionProfile(kind, 2, 10, 60, 0, DEADLINE_MILLISECONDS, EstimateAccuracy.CLOSE);
        };
    }

    private static List<Trace.Kind> ordinaryKinds() {
        return List.of(
                kind("fineness", 1, Urgency.URGENT, null, null, null),
                kind("assay", 3, Urgency.NORMAL, null, null, null),
                kind("reconciliation", 1, Urgency.NORMAL, null, null, null),
                kind("archive", 1, Urgency.BACKGROUND, null, null, null));
    }

    private static List<Trace.Kind> limitedKinds() {
        return List.of(
                kind("fineness", 1, Urgency.URGENT, null, null, null),
                kind("assay", 3, Urgency.NORMAL, 20, null, null),
                kind("reconciliation", 1, Urgency.NORMAL, null, 900, 40),
                kind("archive", 1, Urgency.BACKGROUND, 4, null, null));
    }

    private static List<Trace.Team> teams(TraceName name) {
        return name == TraceName.LIMITS ? List.of(new Trace.Team("assay-team-0", 2, null, null)) : List.of();
    }

    private static Trace.Kind kind(
            String kind, int weight, Urgency urgency, Integer running, Integer queued, Integer startsPerSecond) {
        return new Trace.Kind(kind, weight, urgency, running, queued, startsPerSecond, TASK_TIMEOUT_MILLISECONDS);
    }
}
