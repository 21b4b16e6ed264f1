package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.RunOutcome;
import java.util.List;

/**
 * Decision whether runs of which the upstream lists no completion have ended there. Such a run is reported as lapsed,
 * and its owner (the entry that dispatched it last) may start its task elsewhere at once; so nothing short of a proof
 * that the run has ended counts.
 */
final class RunEndings {
    /** Maximum delay of an unanswered order, in milliseconds: the platform's limit of twelve seconds, plus a margin. */
    private static final long MAXIMUM_ORDER_DELAY_MILLISECONDS = 13_000;
    /** Maximum percentage by which the upstream's clock is slower than the local one. */
    private static final long CLOCK_DRIFT_PERCENT = 2;
    /** Margin added to a lease for timer delays, in milliseconds. */
    private static final long LEASE_MARGIN_MILLISECONDS = 150;

    private final DecisionLoop loop;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final UpstreamState state;
    private final UpstreamCrashes crashes;
    private final RunListener listener;

    RunEndings(
            DecisionLoop loop,
            SidecarTimings timings,
            RunRegistry registry,
            UpstreamState state,
            UpstreamCrashes crashes,
            RunListener listener) {
        this.loop = loop;
        this.timings = timings;
        this.registry = registry;
        this.state = state;
        this.crashes = crashes;
        this.listener = listener;
    }

    /** Finishes, with the outcome LAPSED, the active runs whose end is proved by the evidence. */
    void finishEndedRuns(EndEvidence evidence) {
        List<LocalRun> ended = registry.allRuns().stream()
                .filter(run -> isEndProved(run, evidence))
                .toList();
        for (LocalRun run : ended) {
            String cause = run.lapseReason(causeOf(evidence));
            if (evidence instanceof EndEvidence.Silence) {
                crashes.recordLapse(run);
            }
            loop.log()
                    .event(
                            evidence instanceof EndEvidence.CompleteListing
                                    ? EventName.RUN_MISSING
                                    : EventName.RUN_LAPSED,
                            EventKey.RUN,
                            run.identity(),
                            EventKey.CAUSE,
                            cause,
                            EventKey.PHASE,
                            run.phase(),
                            EventKey.CONFIRMED,
                            run.isStartConfirmed(),
                            EventKey.FENCE,
                            state.fenceToken());
            registry.finish(run, RunOutcome.LAPSED, cause, /* completionNumber= */ 0, loop.monotonicMilliseconds());
            listener.runFinished(run);
        }
    }

    /** Returns whether the evidence proves that a run, which was ordered here or found at the upstream, has ended. */
    boolean isEndProved(LocalRun run, EndEvidence evidence) {
        if (!run.isActive()) {
            return false;
        }
        return switch (evidence) {
            case EndEvidence.CompleteListing listing -> isMissing(run, listing);
            case EndEvidence.Silence silence -> hasLapsedInSilence(run, silence);
            // The port of an upstream that did not announce its stop may refuse connections for another reason.
            case EndEvidence.RefusedConnection refusal ->
                !run.isInPhase(LocalRun.Phase.STARTING) && state.hasAnnouncedStopBefore(refusal.requestedAt());
            // An upstream whose notice is not acknowledged goes on for some seconds.
            case EndEvidence.StopNotice notice -> false;
        };
    }

    /**
     * Returns whether a run of which this process knows nothing cannot be active: the upstream has listed its runs
     * under a fencing token of this process, by which it refuses the orders of earlier ones.
     */
    boolean isEndOfUnknownRunProved() {
        return state.isIncarnationListed();
    }

    /**
     * Returns whether a listing lacks a run that it would have to include. A run whose start was not answered
     * (DOUBTFUL) counts as never started only if the listing was requested under the current fencing token.
     */
    private boolean isMissing(LocalRun run, EndEvidence.CompleteListing listing) {
        if (listing.active().contains(run.identity())) {
            return false;
        }
        boolean neverStarted = run.isInPhase(LocalRun.Phase.DOUBTFUL) && listing.fenceToken() == state.fenceToken();
        // A listing need not include a run whose start was ordered shortly before or after the hold request.
        boolean disappeared = run.isInPhase(LocalRun.Phase.RUNNING)
                && run.startedAt() < listing.requestedAt() - timings.answerTimeoutMilliseconds();
        return neverStarted || disappeared;
    }

    /** Returns whether the upstream must have stopped a run, because the lease has expired. */
    private boolean hasLapsedInSilence(LocalRun run, EndEvidence.Silence silence) {
        long now = loop.monotonicMilliseconds();
        long lease =
                timings.upstreamLeaseMilliseconds() * (100 + CLOCK_DRIFT_PERCENT) / 100 + LEASE_MARGIN_MILLISECONDS;
        if (now <= silence.leaseRequestedAt() + lease) {
            return false;
        }
        return switch (run.phase()) {
            case RUNNING -> true;
            case DOUBTFUL -> now - run.startedAt() > MAXIMUM_ORDER_DELAY_MILLISECONDS;
            case QUEUED, STARTING, ENDED -> false;
        };
    }

    private static String causeOf(EndEvidence evidence) {
        return switch (evidence) {
            case EndEvidence.CompleteListing listing -> "not-listed";
            case EndEvidence.Silence silence -> "upstream-silent";
            case EndEvidence.RefusedConnection refusal -> "upstream-gone";
            case EndEvidence.StopNotice notice -> "upstream-leaving";
        };
    }
}
