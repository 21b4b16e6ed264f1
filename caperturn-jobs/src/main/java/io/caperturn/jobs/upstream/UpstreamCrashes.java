package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.UpstreamCrash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Crashes of the upstream beside a sidecar process: ends of an incarnation (the time from a start to the next stop)
 * that the upstream did not announce. Its sidecar takes refused connections for a crash until the same incarnation
 * answers again, and an answer of a later incarnation for proof.
 */
final class UpstreamCrashes {
    /** Time for which entries are told of a crash, in milliseconds. */
    static final long RETENTION_MILLISECONDS = 10_000;
    /** Chance below which the start of a run shortly before a crash is taken for its likely cause. */
    private static final double MAX_CHANCE_OF_START_BY_COINCIDENCE = 0.25;

    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final UpstreamState state;
    /** Whether the known incarnation counts as crashed. */
    private boolean crashed;
    /** Runs that have lapsed while the known incarnation was silent without refusing connections. */
    private final List<LocalRun> lapsedInSilence = new ArrayList<>();
    /** Runs that are taken for lost because the known incarnation counts as crashed. */
    private final List<LocalRun> markedRuns = new ArrayList<>();
    /** Those of them that have lapsed since. */
    private final List<LocalRun> lapsedInCrash = new ArrayList<>();
    /** Crashes in the retention time, the latest last. */
    private final Deque<RecordedCrash> recorded = new ArrayDeque<>();
    /** Crash for which the known incarnation counts as crashed; null if there is none, or no run was active. */
    private RecordedCrash lastCrash;

    private final StartRates startRates = new StartRates();
    private long crashCount;

    /** Crash with its time, in milliseconds of the loop's clock. */
    private record RecordedCrash(long number, long at, Map<String, Integer> startChancePermille) {}

    UpstreamCrashes(DecisionLoop loop, RunRegistry registry, UpstreamState state) {
        this.loop = loop;
        this.registry = registry;
        this.state = state;
    }

    /**
     * Records a crash of the known incarnation, unless that is recorded already or the upstream announced its end.
     *
     * @param cause how the crash was noticed; written to the log
     * @param justNow whether the upstream crashed after its last answer and before now; if not, runs may have ended
     *     before the crash, or started in the next incarnation
     */
    void recordCrash(String cause, boolean justNow) {
        Optional<UpstreamAnnouncement> announcement =
                state.incarnation().announcement().filter(latest -> !latest.leaving());
        if (crashed || announcement.isEmpty()) {
            return;
        }
        crashed = true;
        List<LocalRun> active =
                registry.allRuns().stream().filter(LocalRun::isActive).toList();
        List<LocalRun> present =
                justNow ? active.stream().filter(LocalRun::isStartConfirmed).toList() : List.of();
        active.stream().filter(run -> !run.hasUpstreamCrashed()).forEach(run -> {
            run.setCrashReason(JobFrame.Report.UPSTREAM_CRASHED_UNCONFIRMED);
            markedRuns.add(run);
        });
        Map<String, Integer> startChances = new HashMap<>();
        for (LocalRun run : present) {
            double chance = startChance(run);
            run.setCrashReason(
                    chance < MAX_CHANCE_OF_START_BY_COINCIDENCE
                            ? JobFrame.Report.UPSTREAM_CRASHED_AT_START
                            : JobFrame.Report.UPSTREAM_CRASHED);
            if (!run.queue().isEmpty()) {
                startChances.merge(run.queue(), (int) Math.ceil(1_000 * chance), Math::min);
            }
        }
        if (!present.isEmpty()) {
            lastCrash = new RecordedCrash(++crashCount, loop.monotonicMilliseconds(), startChances);
            recorded.add(lastCrash);
        }
        loop.log()
                .event(
                        EventName.UPSTREAM_CRASHED,
                        EventKey.IDENTITY,
                        announcement.get().identity(),
                        EventKey.BORN,
                        announcement.get().startEpochMilliseconds(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.RUNS,
                        active.size(),
                        EventKey.CONFIRMED,
                        present.size(),
                        EventKey.START_CHANCES,
                        startChances);
        loop.log().count("upstream-crashed");
    }

    /**
     * Returns the chance that a run of the same queue starts on the upstream as shortly before any moment as this one
     * did; 0 if the run was the only one there.
     */
    private double startChance(LocalRun run) {
        return run.isExclusive()
                ? 0
                : startRates.chanceOfStartWithin(run.queue(), 1 + loop.monotonicMilliseconds() - run.startedAt());
    }

    /** Records that the upstream has confirmed the start of a run. */
    void recordStart(LocalRun run) {
        startRates.recordStart(run.queue(), loop.monotonicMilliseconds());
    }

    /** Returns the crashes in the retention time under active runs. */
    List<UpstreamCrash> recent() {
        long now = loop.monotonicMilliseconds();
        while (!recorded.isEmpty() && now - recorded.peek().at() > RETENTION_MILLISECONDS) {
            recorded.poll();
        }
        return recorded.stream()
                .map(crash -> new UpstreamCrash(crash.number(), now - crash.at(), crash.startChancePermille()))
                .toList();
    }

    /**
     * Handles an answer or an orderly end of the known incarnation: it had not crashed. Returns the runs that lapsed
     * while it counted as crashed.
     */
    List<LocalRun> retract() {
        if (crashed) {
            loop.log()
                    .event(
                            EventName.CRASH_RETRACTED,
                            EventKey.IDENTITY,
                            state.identity(),
                            EventKey.RUNS,
                            lapsedInCrash.size());
            markedRuns.forEach(run -> run.setCrashReason(""));
            recorded.remove(lastCrash);
        }
        List<LocalRun> lapsed = List.copyOf(lapsedInCrash);
        endIncarnation();
        return lapsed;
    }

    private void endIncarnation() {
        crashed = false;
        lastCrash = null;
        markedRuns.clear();
        lapsedInCrash.clear();
        lapsedInSilence.clear();
    }

    /** Records that a run of the known incarnation has lapsed. */
    void recordLapse(LocalRun run) {
        if (markedRuns.contains(run)) {
            lapsedInCrash.add(run);
        } else if (!run.hasUpstreamCrashed()) {
            lapsedInSilence.add(run);
        }
    }

    /**
     * Forgets the known incarnation, which another one has replaced; returns the runs that lapsed while it was silent,
     * because that silence may have begun with its crash.
     */
    List<LocalRun> replaceIncarnation() {
        List<LocalRun> lapsed = crashed ? List.copyOf(lapsedInSilence) : List.of();
        endIncarnation();
        return lapsed;
    }
}
