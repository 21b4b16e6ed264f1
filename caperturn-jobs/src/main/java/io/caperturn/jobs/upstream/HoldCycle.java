package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Sequence of hold requests to the upstream, one at a time: each extends the lease, waits for completions, and lists
 * the upstream's runs.
 */
final class HoldCycle {
    /** Pause after an early answer without changes, as sent while completions wait to be stored, in milliseconds. */
    private static final long IDLE_PAUSE_MILLISECONDS = 25;
    /** Pause after a refusal or repeated time-outs, in milliseconds. */
    private static final long FAULT_PAUSE_MILLISECONDS = 100;
    /** Number of consecutive unanswered holds after which leases are no longer extended. */
    private static final int MAXIMUM_MISSED_HOLDS = 2;
    /** Maximum amount by which the upstream's clock may be slower than the local one, in percent. */
    private static final long CLOCK_DRIFT_PERCENT = 2;
    /**
     * Minimum time without progress after which a run counts as stalled, in milliseconds: more than the wait of a hold,
     * because only listings report progress.
     */
    private static final long MINIMUM_STALL_MILLISECONDS = 300;
    /** Margin added to a lease for timer delays, in milliseconds. */
    private static final long LEASE_MARGIN_MILLISECONDS = 150;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final UpstreamState state;
    private final Handler handler;
    private boolean inFlight;
    private boolean holdRequested;
    private long missedHolds;
    private long lastLeaseSentAt;
    private long pausedUntil = Long.MIN_VALUE;

    HoldCycle(
            UpstreamPort port,
            DecisionLoop loop,
            SidecarTimings timings,
            RunRegistry registry,
            UpstreamState state,
            Handler handler) {
        this.port = port;
        this.loop = loop;
        this.timings = timings;
        this.registry = registry;
        this.state = state;
        this.handler = handler;
    }

    /** Receiver of the results of holds. */
    interface Handler {
        /** Called when a listing shows that an unanswered start was carried out. */
        void startConfirmed(LocalRun run);

        /** Called when a run has made no progress for too long in relation to its expected duration. */
        void stalled(LocalRun run);

        /** Called when a run has finished. */
        void finished(LocalRun run);

        /**
         * Called when a listing contained changes or was the first under its fencing token.
         *
         * @param firstListing whether it was the first listing of the upstream's current incarnation
         */
        void listingChanged(boolean firstListing);

        /** Called when another incarnation of the upstream answered. */
        void upstreamRestarted();

        /** Called when several consecutive holds went unanswered. */
        void upstreamSilent();

        /** Called with each reading of the upstream's clock, in milliseconds. */
        void clockRead(long reading);
    }

    /** Returns whether several consecutive holds went unanswered. */
    boolean isSilent() {
        return missedHolds >= MAXIMUM_MISSED_HOLDS;
    }

    /** Records that an order which extends the lease was sent. */
    void recordLeaseSent() {
        lastLeaseSentAt = loop.monotonicMilliseconds();
    }

    /** Returns whether the upstream is silent and all leases that it was granted must have expired. */
    boolean hasLeaseExpired() {
        long lease = timings.leaseMilliseconds() * (100 + CLOCK_DRIFT_PERCENT) / 100 + LEASE_MARGIN_MILLISECONDS;
        return isSilent() && loop.monotonicMilliseconds() > lastLeaseSentAt + lease;
    }

    /** Starts a hold if runs have to be listed, leases to be extended, or completions to be acknowledged. */
    void holdIfNeeded() {
        if (!state.isListed()
                || registry.activeCount() > 0
                || registry.highestAcknowledgeable() > registry.acknowledged()) {
            hold();
        }
    }

    /** Starts a hold, or requests another one if a hold is in flight or paused. */
    void hold() {
        if (state.fence() == 0) {
            return;
        }
        if (inFlight || loop.monotonicMilliseconds() < pausedUntil) {
            holdRequested = true;
            return;
        }
        inFlight = true;
        holdRequested = false;
        Order order = !isSilent() && state.isListed() ? state.leaseOrder() : state.orderWithoutLease();
        if (order.leaseUntil() > 0) {
            recordLeaseSent();
        }
        long sentAt = loop.monotonicMilliseconds();
        long acknowledged = registry.highestAcknowledgeable();
        long waitMilliseconds =
                state.isListed() && acknowledged == registry.acknowledged() ? timings.holdWaitMilliseconds() : 0;
        port.hold(order, acknowledged, waitMilliseconds, answer -> {
            inFlight = false;
            handleAnswer(order, acknowledged, waitMilliseconds, sentAt, answer);
        });
    }

    private void handleAnswer(Order order, long acknowledged, long waitMilliseconds, long sentAt, Answer answer) {
        switch (answer) {
            case Answer.Listing listing -> {
                missedHolds = 0;
                if (state.recordIncarnation(listing.identity(), listing.born())) {
                    handler.upstreamRestarted();
                } else {
                    registry.setAcknowledged(acknowledged);
                }
                handler.clockRead(listing.clock());
                boolean changed = applyListing(listing, order, sentAt);
                boolean answeredEarly = loop.monotonicMilliseconds() - sentAt < waitMilliseconds / 2;
                scheduleNext(!changed && answeredEarly && !holdRequested ? IDLE_PAUSE_MILLISECONDS : 0);
            }
            case Answer.Refused refused -> handleRefusal(order, refused);
            case Answer.Unanswered unanswered -> {
                missedHolds++;
                loop.log()
                        .event(
                                EventName.HOLD_UNANSWERED,
                                EventKey.MISSED,
                                missedHolds,
                                EventKey.REASON,
                                unanswered.reason());
                if (missedHolds == MAXIMUM_MISSED_HOLDS) {
                    handler.upstreamSilent();
                }
                pause(isSilent() ? FAULT_PAUSE_MILLISECONDS : 0);
            }
            case Answer.Accepted ignored -> throw new IllegalStateException("a hold must be answered with a listing");
        }
    }

    private void handleRefusal(Order order, Answer.Refused refused) {
        loop.log().event(EventName.HOLD_REFUSED, EventKey.REASON, refused.reason(), EventKey.FENCE, order.fence());
        if (refused.clock() > 0) {
            handler.clockRead(refused.clock());
        }
        if (refused.reason() == UpstreamPort.Refusal.FENCED && order.fence() == state.fence()) {
            state.raiseFence("refused-by-fence");
        }
        if (refused.reason() == UpstreamPort.Refusal.OTHER_INSTANCE) {
            state.recordMismatch();
        }
        pause(FAULT_PAUSE_MILLISECONDS);
    }

    /** Defers all holds for the given time, including those requested meanwhile. */
    private void pause(long milliseconds) {
        pausedUntil = loop.monotonicMilliseconds() + milliseconds;
        scheduleNext(milliseconds);
    }

    private void scheduleNext(long pauseMilliseconds) {
        if (pauseMilliseconds > 0) {
            loop.after(pauseMilliseconds, this::continueCycle);
        } else {
            continueCycle();
        }
    }

    private void continueCycle() {
        if (holdRequested) {
            hold();
        } else if (!inFlight) {
            holdIfNeeded();
        }
    }

    /** Applies a listing; returns whether it contained changes or was the first under its fencing token. */
    private boolean applyListing(Answer.Listing listing, Order order, long sentAt) {
        boolean changed = false;
        long now = loop.monotonicMilliseconds();
        for (UpstreamPort.Completion completion : listing.completions()) {
            if (registry.recordCompletion(completion.number(), completion.run())) {
                changed = true;
                finishRun(completion, now);
            }
        }
        Set<RunIdentity> running = new HashSet<>();
        for (UpstreamPort.Running active : listing.running()) {
            running.add(active.run());
            LocalRun known = registry.find(active.run());
            if (known == null) {
                loop.log().event(EventName.RUN_FOUND, EventKey.RUN, active.run(), EventKey.FENCE, order.fence());
                registry.addDiscovered(active.run(), now);
                changed = true;
            } else if (known.isIn(Phase.DOUBTFUL)) {
                known.enterPhase(Phase.RUNNING);
                handler.startConfirmed(known);
            } else if (known.updateProgress(active.percent(), now, MINIMUM_STALL_MILLISECONDS)) {
                loop.log()
                        .event(EventName.STANDS_STILL, EventKey.RUN, active.run(), EventKey.PERCENT, active.percent());
                handler.stalled(known);
            }
        }
        if (listing.complete()) {
            expireMissing(running, order, sentAt);
        }
        boolean listedBefore = state.hasListing();
        boolean first = state.recordListing(order.fence());
        if (changed || first) {
            handler.listingChanged(!listedBefore && state.isListed());
        }
        return changed || first;
    }

    private void finishRun(UpstreamPort.Completion completion, long now) {
        LocalRun known = registry.find(completion.run());
        LocalRun run = known == null ? registry.addDiscovered(completion.run(), now) : known;
        registry.finish(run, completion.outcome(), "", completion.number(), now);
        loop.log()
                .event(
                        EventName.ENDED,
                        EventKey.RUN,
                        completion.run(),
                        EventKey.OUTCOME,
                        completion.outcome(),
                        EventKey.NUMBER,
                        completion.number(),
                        EventKey.RAN,
                        run.runMilliseconds());
        loop.log().duration("run", run.runMilliseconds());
        handler.finished(run);
        // An owner confirms only successes and failures.
        if (!completion.outcome().isRecorded()) {
            registry.removeFinished(run);
        }
    }

    /** Expires runs that a complete listing under the current fencing token shows as neither active nor finished. */
    private void expireMissing(Set<RunIdentity> running, Order order, long sentAt) {
        List<LocalRun> missing = new ArrayList<>();
        for (LocalRun run : registry.all()) {
            boolean neverStarted = run.isIn(Phase.DOUBTFUL) && order.fence() == state.fence();
            // A run whose start overlapped with the hold need not be in its listing.
            boolean disappeared = run.isIn(Phase.RUNNING) && run.startedAt() < sentAt - timings.answerMilliseconds();
            if (!running.contains(run.identity()) && (neverStarted || disappeared)) {
                missing.add(run);
            }
        }
        for (LocalRun run : missing) {
            loop.log()
                    .event(
                            EventName.RUN_MISSING,
                            EventKey.RUN,
                            run.identity(),
                            EventKey.PHASE,
                            run.phase(),
                            EventKey.FENCE,
                            order.fence());
            registry.finish(run, RunOutcome.LAPSED, "not-listed", 0, loop.monotonicMilliseconds());
            handler.finished(run);
        }
    }
}
