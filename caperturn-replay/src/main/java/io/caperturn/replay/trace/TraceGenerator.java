package io.caperturn.replay.trace;

import io.caperturn.core.model.Urgency;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.trace.SubmissionGenerator.EstimateAccuracy;
import io.caperturn.replay.trace.SubmissionGenerator.SubmissionProfile;
import io.caperturn.replay.trace.TraceEvent.FaultType;
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

    /** Share of each kind (type of task) in the load. */
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
        double middleMilliseconds = lengthMilliseconds / 2;
        switch (name) {
            case STEADY_60 -> addSteadyLoad(0.6);
            case STEADY_90 -> addSteadyLoad(0.9);
            case BURST -> {
                addSteadyLoad(0.5);
                // Added to the steady load, nine times as much makes a burst of ten times the load.
                addLoad(0.5 * 9, middleMilliseconds, middleMilliseconds + 2_000);
            }
            case LARGE_JOB -> addLargeJob();
            case HETEROGENEOUS -> addSteadyLoad(0.8 * speedWeightedSlots(header) / upstreams.totalSlots());
            case STRAGGLER -> {
                addSteadyLoad(0.7);
                addFault(lengthMilliseconds / 4, FaultType.SPEED, /* target= */ 3, STRAGGLER_SPEED);
            }
            case FAILING_WORKER -> {
                addSteadyLoad(0.7);
                addFault(lengthMilliseconds / 4, FaultType.FAILING, 3, /* value= */ 0);
            }
            case WRONG_ESTIMATES -> {
                accuracy = EstimateAccuracy.WITHIN_FACTOR_TEN;
                addSteadyLoad(0.8);
            }
            case CANCELLATIONS -> addCancellations();
            case UPSTREAM_LOST -> {
                addSteadyLoad(0.7);
                addFault(middleMilliseconds, FaultType.UPSTREAM_LOST, 3, 0);
            }
            case ENTRY_LOST -> {
                addSteadyLoad(0.7);
                addFault(middleMilliseconds, FaultType.ENTRY_LOST, 1, 0);
            }
            case LIMITS -> {
                addSteadyLoad(0.8);
                addFault(middleMilliseconds, FaultType.ENTRY_PAUSED, /* target= */ 1, /* value= */ 10_000);
            }
            case FAIRNESS -> addBacklog();
        }
        events.sort(Comparator.comparingDouble(TraceEvent::at));
        return new Trace(header, events);
    }

    private void addSteadyLoad(double load) {
        addLoad(load, 0, lengthMilliseconds);
    }

    /** Adds submissions of all kinds; a load of 1 keeps all slots busy. */
    private void addLoad(double load, double fromMilliseconds, double toMilliseconds) {
        for (String kind : List.of("fineness", "assay", "reconciliation", "archive")) {
            double slots = load * upstreams.totalSlots() * LOAD_SHARES.get(kind);
            String prefix = kind + Math.round(fromMilliseconds);
            new SubmissionGenerator(profile(kind).withAccuracy(accuracy), random)
                    .generateArrivals(fromMilliseconds, toMilliseconds, slots).stream()
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
        SubmissionGenerator generator = new SubmissionGenerator(profile("reconciliation"), random);
        double atMilliseconds = lengthMilliseconds / 3;
        for (int job = 0; job < CANCELLED_JOBS; job++) {
            TraceEvent.Arrival arrival =
                    withKeyPrefix(generator.generateSubmission(atMilliseconds, /* tasks= */ 300), "wave");
            events.add(arrival);
            events.add(new TraceEvent.Cancellation(atMilliseconds + 2_000, arrival.team(), arrival.key()));
        }
    }

    private void addBacklog() {
        for (String kind : List.of("assay", "reconciliation")) {
            SubmissionGenerator generator = new SubmissionGenerator(profile(kind), random);
            // A task takes 0.38 s on average, so each kind has 1.2 times the work that all slots can do.
            // Its jobs arrive 1 ms apart.
            double tasks = 1.2 * lengthMilliseconds * upstreams.totalSlots() / 1_000 / 0.38;
            for (int job = 0; job < tasks / 100; job++) {
                events.add(withKeyPrefix(
                        generator.generateSubmission(/* atMilliseconds= */ job, /* tasks= */ 100), "backlog"));
            }
        }
    }

    /** Adds a fault of the upstream or entry with a number. */
    private void addFault(double atMilliseconds, FaultType type, int target, double value) {
        events.add(new TraceEvent.Fault(atMilliseconds, type, target, value));
    }

    /** Returns the capacity of all upstreams as a number of slots of speed 1. */
    private double speedWeightedSlots(Trace.Header header) {
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

    /**
     * Returns a profile: number of teams, minimum and maximum number of tasks, share of idempotent submissions,
     * deadline and accuracy of estimates.
     */
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

    /** Returns the rows of all kinds, with weight and urgency; each {@code null} stands for no limit. */
    private static List<Trace.Kind> ordinaryKinds() {
        return List.of(
                kindRow("fineness", 1, Urgency.URGENT, null, null, null),
                kindRow("assay", 3, Urgency.NORMAL, null, null, null),
                kindRow("reconciliation", 1, Urgency.NORMAL, null, null, null),
                kindRow("archive", 1, Urgency.BACKGROUND, null, null, null));
    }

    /** Returns the same rows with some limits: for running tasks, queued tasks and starts per second. */
    private static List<Trace.Kind> limitedKinds() {
        return List.of(
                kindRow("fineness", 1, Urgency.URGENT, null, null, null),
                kindRow("assay", 3, Urgency.NORMAL, 20, null, null),
                kindRow("reconciliation", 1, Urgency.NORMAL, null, 900, 40),
                kindRow("archive", 1, Urgency.BACKGROUND, 4, null, null));
    }

    private static List<Trace.Team> teams(TraceName name) {
        return name == TraceName.LIMITS
                ? List.of(new Trace.Team("assay-team-0", /* running= */ 2, null, null))
                : List.of();
    }

    private static Trace.Kind kindRow(
            String kind, int weight, Urgency urgency, Integer running, Integer queued, Integer startsPerSecond) {
        return new Trace.Kind(kind, weight, urgency, running, queued, startsPerSecond, TASK_TIMEOUT_MILLISECONDS);
    }
}
