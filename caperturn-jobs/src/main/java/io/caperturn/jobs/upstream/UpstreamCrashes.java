package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Crashes of the upstream beside a sidecar process: ends of an incarnation (the time from a start to the next stop)
 * that the upstream did not announce. Its sidecar takes refused connections for a crash until the same incarnation
 * answers again, and an answer of a later incarnation for proof.
 */
final class UpstreamCrashes {
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final UpstreamState state;
    /** Whether the known incarnation counts as crashed. */
    private boolean crashed;
    /** Runs that have lapsed while the known incarnation was silent without refusing connections. */
    private final List<LocalRun> lapsedInSilence = new ArrayList<>();

    UpstreamCrashes(DecisionLoop loop, RunRegistry registry, UpstreamState state) {
        this.loop = loop;
        this.registry = registry;
        this.state = state;
    }

    /** Records a crash of the known incarnation, unless that is recorded already or the upstream announced its end. */
    void recordCrash(String cause) {
        UpstreamAnnouncement announcement = state.announcement();
        if (crashed || announcement == null || announcement.leaving()) {
            return;
        }
        crashed = true;
        List<LocalRun> active =
                registry.allRuns().stream().filter(LocalRun::isActive).toList();
        active.forEach(run -> run.setUpstreamCrashed(true));
        loop.log()
                .event(
                        EventName.UPSTREAM_CRASHED,
                        EventKey.IDENTITY,
                        announcement.identity(),
                        EventKey.BORN,
                        announcement.startEpochMilliseconds(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.RUNS,
                        active.size(),
                        EventKey.QUEUE_NAMES,
                        active.stream().map(LocalRun::queue).distinct().sorted().collect(Collectors.joining(",")));
        loop.log().count("upstream-crashed");
    }

    /** Handles an answer of the known incarnation: it had not crashed. */
    void retract() {
        if (crashed) {
            loop.log().event(EventName.CRASH_RETRACTED, EventKey.IDENTITY, state.identity());
            registry.allRuns().forEach(run -> run.setUpstreamCrashed(false));
        }
        crashed = false;
        lapsedInSilence.clear();
    }

    /** Records that a run of the known incarnation has lapsed. */
    void recordLapse(LocalRun run) {
        if (!run.hasUpstreamCrashed()) {
            lapsedInSilence.add(run);
        }
    }

    /**
     * Forgets the known incarnation, which another one has replaced; returns the runs that lapsed while it was silent,
     * because that silence was a crash.
     */
    List<LocalRun> replaceIncarnation() {
        List<LocalRun> lapsed = crashed ? List.copyOf(lapsedInSilence) : List.of();
        lapsedInSilence.clear();
        crashed = false;
        return lapsed;
    }
}
