package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/** The users' three kinds of work at their rates, handed to a simulated fleet, and what callers got. */
final class MixedLoad {
    private static final int SECONDS = 12;
    private static final int SECONDS_AFTER = 8;
    /** Estimates are off by this much either way. */
    private static final double ESTIMATE_ERROR = 0.4;
    /** Worth of a late answer, as a share of one in time. */
    private static final double LATE_WORTH = 0.2;

    static final Kind CHECK = new Kind("check", 8, 86, 8.8, 0.0291, 0);
    static final Kind RUN = new Kind("run", 4, 1_286, 1.6, 0.16, 2);
    static final Kind CERTIFICATE = new Kind("certificate", 2, 286, 25.4, 0.01, 1);
    private static final List<Kind> KINDS = List.of(CHECK, RUN, CERTIFICATE);

    private final SimulatedFleet fleet;
    private final int entries;
    private final Callers calls;
    private final List<Caller> callers = new ArrayList<>();
    private final Map<String, Long> lengths = new HashMap<>();

    /**
     * Prepares a fleet.
     *
     * @param entries its entries; callers choose any of them
     * @param speeds speed of each upstream
     */
    MixedLoad(int entries, double[] speeds) {
        this.entries = entries;
        this.fleet = new SimulatedFleet(
                entries, speeds.length, task -> lengths.get(task.job()) * (90 + task.index() * 37 % 21) / 100);
        this.calls = new Callers(fleet);
        for (int number = 0; number < speeds.length; number++) {
            fleet.upstream(number).speed(speeds[number]);
        }
    }

    /** A kind of work: tasks of a job, their duration, jobs a second at a load of 1, and the worth of one in time. */
    record Kind(String name, int tasks, long milliseconds, double rate, double worth, int urgency) {
        QueuePolicy policy() {
            return new QueuePolicy(name, "host", "/" + name + "/", "service", urgency, 2, 1.6, 60);
        }

        long objective() {
            return Math.round(1.6 * milliseconds) + 60;
        }
    }

    /** One job that was handed in. */
    record Caller(Kind kind, Callers.Caller call) {
        double credit() {
            boolean done = call.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED));
            if (!done || call.took() > 3 * kind.objective()) {
                return 0;
            }
            return kind.worth() * (call.took() <= kind.objective() ? 1 : LATE_WORTH);
        }
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    List<Caller> callers() {
        return callers;
    }

    /**
     * Plays a load to its end.
     *
     * @param load factor on the rates of all kinds
     * @param seed seed of arrivals, lengths and estimates
     */
    void play(double load, long seed) {
        Random random = new Random(seed);
        long start = fleet.time().now();
        double[] next = {start, start, start};
        while (fleet.time().now() < start + 1_000L * SECONDS) {
            for (int index = 0; index < KINDS.size(); index++) {
                Kind kind = KINDS.get(index);
                if (fleet.time().now() >= next[index]) {
                    next[index] += -Math.log(1 - random.nextDouble()) * 1_000 / (load * kind.rate());
                    submit(kind, random);
                }
            }
            calls.pass();
        }
        calls.pass(1_000 * SECONDS_AFTER);
    }

    private void submit(Kind kind, Random random) {
        String job = kind.name() + callers.size();
        lengths.put(job, kind.milliseconds());
        long estimate = Math.round(kind.milliseconds() * (1 + ESTIMATE_ERROR * (2 * random.nextDouble() - 1)));
        JobPlan plan = new JobPlan(
                kind.name(),
                "payload",
                List.of(new StepPlan(kind.tasks(), new Resources(1_600, 64, 0), estimate, List.of(), "", "", 0)),
                false);
        callers.add(new Caller(kind, calls.submit(random.nextInt(entries), job, plan, kind.policy())));
    }

    /** Gives what callers earned, as a share of what they were owed. */
    double earnedShare(Predicate<Kind> kinds) {
        double owed = callers.stream()
                .filter(caller -> kinds.test(caller.kind()))
                .mapToDouble(caller -> caller.kind().worth())
                .sum();
        double earned = callers.stream()
                .filter(caller -> kinds.test(caller.kind()))
                .mapToDouble(Caller::credit)
                .sum();
        return earned / owed;
    }
}
