package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.HashSet;
import java.util.Set;

/**
 * Sequence of hold requests to the upstream, one at a time but for listings under a raised fencing token. A hold
 * request extends the lease of all active runs, as far as each may continue, and acknowledges completions of runs,
 * which the upstream then discards. It waits for new completions, and is answered with a listing of the upstream's
 * runs.
 *
 * <p>Each request carries a fencing token, a number that this process raises; the upstream refuses lower numbers than
 * it has seen.
 */
final class HoldCycle {
    /**
     * Pause after an answer that came early but showed no changes, in milliseconds. The upstream answers at once while
     * it retains completions, and it retains them until the owners have stored them.
     */
    private static final long IDLE_PAUSE_MILLISECONDS = 25;
    /** Pause after a refusal or repeated time-outs, in milliseconds. */
    private static final long FAULT_PAUSE_MILLISECONDS = 100;
    /** Like {@link #FAULT_PAUSE_MILLISECONDS}, while no run is active. */
    private static final long IDLE_FAULT_PAUSE_MILLISECONDS = 500;
    /**
     * Maximum wait of a hold request after an order stayed unanswered, in milliseconds. Completions are not seen while
     * a hold stays unanswered, which is found out only after its wait.
     */
    private static final long SHORT_HOLD_WAIT_MILLISECONDS = 30;
    /** Minimum number of waits of hold requests, one after the other, within the lease that was requested last. */
    private static final long HOLD_WAITS_PER_LEASE = 3;
    /**
     * Minimum time without progress after which a run counts as stalled, in milliseconds: longer than the wait of a
     * hold request, because only its answer reports progress.
     */
    private static final long MINIMUM_STALL_MILLISECONDS = 300;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final UpstreamState state;
    private final RunLeases leases;
    private final HoldHandler handler;
    private final AnswerTimeout answerTimeout;
    private boolean holdInFlight;
    /** Whether a hold is in flight that lists the runs under a raised token at once; another one may be waiting. */
    private boolean listingInFlight;

    private boolean holdRequested;
    private final Reachability reachability = new Reachability();

    /** When an order that extends the lease was last sent, in milliseconds of the loop's clock. */
    private long lastLeaseSentAt;

    private long holdsPausedUntil = Long.MIN_VALUE;

    HoldCycle(
            UpstreamPort port,
            DecisionLoop loop,
            SidecarTimings timings,
            RunRegistry registry,
            UpstreamState state,
            RunLeases leases,
            AnswerTimeout answerTimeout,
            HoldHandler handler) {
        this.port = port;
        this.loop = loop;
        this.timings = timings;
        this.registry = registry;
        this.state = state;
        this.leases = leases;
        this.answerTimeout = answerTimeout;
        this.handler = handler;
    }

    /** Hold that was sent, at a time in milliseconds of the loop's clock. */
    private record Hold(
            KnownIncarnation addressed,
            Order order,
            long acknowledged,
            long waitMilliseconds,
            long timeoutMilliseconds,
            long sentAt) {}

    /** Returns whether orders are likely to be answered: the upstream is not silent, and the last order was sent. */
    boolean isUpstreamReachable() {
        return reachability.isReachable();
    }

    /** Records that an order other than a hold could not be sent, and asks the upstream until it answers. */
    void recordOrderNotSent() {
        reachability.recordOrderNotSent(loop.monotonicMilliseconds());
        startHold();
    }

    /** Returns whether several consecutive holds went unanswered. */
    boolean isUpstreamSilent() {
        return reachability.isSilent();
    }

    /** Records that an order which extends the lease was sent. */
    void recordLeaseSent() {
        lastLeaseSentAt = loop.monotonicMilliseconds();
    }

    /** Returns when an order that extends the lease was last sent, in milliseconds of the loop's clock. */
    long lastLeaseSentAt() {
        return lastLeaseSentAt;
    }

    /**
     * Starts a hold if runs have to be listed, leases to be extended, or completions to be acknowledged, or if a known
     * upstream has to be asked whether it is reachable again.
     */
    void startHoldIfNeeded() {
        if (!state.isListedUnderCurrentToken()
                || !isUpstreamReachable() && state.description().isPresent()
                || registry.activeCount() > 0
                || registry.completions().acknowledgeableUpTo()
                        > registry.completions().acknowledgedUpTo()) {
            startHold();
        }
    }

    /**
     * Sends a hold request if there is a fencing token. While a request is in flight or holds are paused, notes that
     * another one has to follow.
     */
    void startHold() {
        if (state.fenceToken() == 0) {
            return;
        }
        boolean listing = !state.isListedUnderCurrentToken();
        if ((listing ? listingInFlight : holdInFlight) || loop.monotonicMilliseconds() < holdsPausedUntil) {
            holdRequested = true;
            return;
        }
        setInFlight(listing, true);
        holdRequested = false;
        Order order = !isUpstreamSilent() && state.isListedUnderCurrentToken()
                ? state.leaseOrder()
                : state.orderWithoutLease();
        if (order.leaseExpiryMilliseconds() > 0) {
            recordLeaseSent();
        }
        long sentAt = loop.monotonicMilliseconds();
        KnownIncarnation addressed = state.incarnation();
        // After a silence, the numbers may be those of an incarnation that has ended.
        long acknowledged =
                reachability.unansweredHolds() > 0 ? 0 : registry.completions().acknowledgeableUpTo();
        long waitMilliseconds = listing ? 0 : waitMilliseconds(sentAt);
        long timeoutMilliseconds = answerTimeout.repeatableMilliseconds();
        port.hold(order, acknowledged, waitMilliseconds, timeoutMilliseconds, answer -> {
            setInFlight(listing, false);
            handleAnswer(
                    new Hold(addressed, order, acknowledged, waitMilliseconds, timeoutMilliseconds, sentAt), answer);
        });
    }

    private void setInFlight(boolean listing, boolean inFlight) {
        if (listing) {
            listingInFlight = inFlight;
        } else {
            holdInFlight = inFlight;
        }
    }

    private long waitMilliseconds(long now) {
        if (!state.isClockRead()) {
            return 0; // starts wait for the reading
        }
        long shortWait = Math.min(SHORT_HOLD_WAIT_MILLISECONDS, timings.holdWaitMilliseconds());
        if (answerTimeout.isSilenceRecent(now)) {
            return shortWait;
        }
        // A lease that is limited is extended by the first hold after the renewal or claim that lifts the limit.
        long part = state.remainingLeaseMilliseconds() / HOLD_WAITS_PER_LEASE;
        return Math.max(shortWait, Math.min(timings.holdWaitMilliseconds(), part));
    }

    private void handleAnswer(Hold hold, Answer answer) {
        switch (answer) {
            case Answer.Listing listing -> handleListing(hold, listing);
            case Answer.Refused refused -> handleRefusal(hold, refused);
            case Answer.Unanswered unanswered ->
                handleUnanswered(hold, unanswered.reason(), /* refusedConnection= */ false);
            case Answer.NotSent notSent -> {
                // A connection that is not opened in time is not sent either, but the upstream may only be silent.
                long tookMilliseconds = loop.monotonicMilliseconds() - hold.sentAt();
                handleUnanswered(hold, notSent.reason(), tookMilliseconds < hold.timeoutMilliseconds());
            }
            case Answer.Accepted ignored -> throw new IllegalStateException("a hold must be answered with a listing");
        }
    }

    private void handleListing(Hold hold, Answer.Listing listing) {
        KnownIncarnation before = state.incarnation();
        if (!state.recordAnswerer(hold.addressed(), listing)) {
            dropListing(hold, listing);
            return;
        }
        boolean wasUnreachable = reachability.recordAnswer();
        if (state.incarnation() == before) {
            if (hold.addressed() == before) {
                registry.completions().setAcknowledgedUpTo(hold.acknowledged());
            }
            if (wasUnreachable) {
                handler.upstreamAnsweredAgain();
            }
        }
        if (!state.incarnation().recordListingClock(listing.clock())) {
            dropListing(hold, listing);
            return;
        }
        handler.clockRead(listing.clock());
        boolean changed = applyListing(listing, hold.order(), hold.sentAt());
        boolean answeredEarly = loop.monotonicMilliseconds() - hold.sentAt() < hold.waitMilliseconds() / 2;
        scheduleNextHold(!changed && answeredEarly && !holdRequested ? IDLE_PAUSE_MILLISECONDS : 0);
    }

    /** Drops a listing that a later one has overtaken, or that an earlier incarnation has sent, and asks again. */
    private void dropListing(Hold hold, Answer.Listing listing) {
        loop.log()
                .event(
                        EventName.LISTING_OUTDATED,
                        EventKey.CLOCK,
                        listing.clock(),
                        EventKey.BORN,
                        listing.upstreamStartEpochMilliseconds(),
                        EventKey.FENCE,
                        hold.order().fenceToken());
        loop.log().count("listing-outdated");
        scheduleNextHold(0);
    }

    private void handleUnanswered(Hold hold, String reason, boolean refusedConnection) {
        long now = loop.monotonicMilliseconds();
        answerTimeout.recordUnanswered(now);
        boolean becomesSilent = reachability.recordUnansweredHold(hold.sentAt(), now, refusedConnection);
        loop.log()
                .event(
                        EventName.HOLD_UNANSWERED,
                        EventKey.MISSED,
                        reachability.unansweredHolds(),
                        EventKey.REASON,
                        reason);
        if (becomesSilent) {
            handler.upstreamSilent(refusedConnection);
        }
        if (refusedConnection && isUpstreamSilent()) {
            handler.endEvidenceFound(new EndEvidence.RefusedConnection(hold.sentAt()));
        }
        if (isUpstreamSilent()) {
            pause(registry.activeCount() > 0 ? FAULT_PAUSE_MILLISECONDS : IDLE_FAULT_PAUSE_MILLISECONDS);
        } else {
            // The first repetition finds out at once whether the upstream refuses connections.
            pause(reachability.unansweredHolds() > 1 ? IDLE_PAUSE_MILLISECONDS : 0);
        }
    }

    private void handleRefusal(Hold hold, Answer.Refused refused) {
        long fenceToken = hold.order().fenceToken();
        loop.log().event(EventName.HOLD_REFUSED, EventKey.REASON, refused.reason(), EventKey.FENCE, fenceToken);
        boolean fromKnown = hold.addressed() == state.incarnation();
        if (refused.reason() == UpstreamPort.Refusal.FENCED && fenceToken == state.fenceToken()) {
            state.raiseFenceToken("refused-by-fence");
        }
        if (fromKnown && refused.reason() == UpstreamPort.Refusal.OTHER_INSTANCE) {
            state.recordIdentityMismatch();
        } else if (fromKnown && refused.clock() > 0) {
            handler.clockRead(refused.clock());
        }
        pause(FAULT_PAUSE_MILLISECONDS);
    }

    /** Starts no hold for a time, even if one is requested. */
    private void pause(long milliseconds) {
        holdsPausedUntil = loop.monotonicMilliseconds() + milliseconds;
        scheduleNextHold(milliseconds);
    }

    private void scheduleNextHold(long pauseMilliseconds) {
        if (pauseMilliseconds > 0) {
            loop.after(pauseMilliseconds, this::continueCycle);
        } else {
            continueCycle();
        }
    }

    private void continueCycle() {
        if (holdRequested) {
            startHold();
        } else if (!holdInFlight) {
            startHoldIfNeeded();
        }
    }

    /** Applies a listing; returns whether it showed changes or was the first one under its fencing token. */
    private boolean applyListing(Answer.Listing listing, Order order, long sentAt) {
        boolean changed = false;
        long now = loop.monotonicMilliseconds();
        boolean listedBefore = state.isIncarnationListed();
        for (UpstreamPort.Completion completion : listing.completions()) {
            if (registry.completions().record(completion.number(), completion.run())) {
                changed = true;
                finishRun(completion, now);
            }
        }
        Set<RunIdentity> running = new HashSet<>();
        for (UpstreamPort.Running active : listing.running()) {
            running.add(active.run());
            LocalRun known = registry.findRun(active.run());
            if (known == null) {
                loop.log().event(EventName.RUN_FOUND, EventKey.RUN, active.run(), EventKey.FENCE, order.fenceToken());
                registry.addDiscovered(active.run(), leases.claimOnFoundRun(/* claimExpected= */ !listedBefore), now);
                changed = true;
            } else if (known.isInPhase(Phase.DOUBTFUL)) {
                known.enterPhase(Phase.RUNNING);
                known.setCrashReason(""); // it is active now, whatever happened to an earlier incarnation
                handler.startConfirmed(known);
            } else {
                known.confirmStart();
                reportIfStalled(known, active.percent(), now);
            }
        }
        if (listing.complete()) {
            handler.endEvidenceFound(new EndEvidence.CompleteListing(running, order.fenceToken(), sentAt));
        }
        boolean first = state.incarnation().recordListing(order.fenceToken());
        if (changed || first) {
            handler.listingChanged(!listedBefore && state.isListedUnderCurrentToken());
        }
        return changed || first;
    }

    private void reportIfStalled(LocalRun run, long percent, long now) {
        if (run.updateProgress(percent, now, MINIMUM_STALL_MILLISECONDS)) {
            loop.log().event(EventName.STANDS_STILL, EventKey.RUN, run.identity(), EventKey.PERCENT, percent);
            handler.runStalled(run);
        }
    }

    private void finishRun(UpstreamPort.Completion completion, long now) {
        LocalRun known = registry.findRun(completion.run());
        LocalRun run = known == null ? registry.addDiscovered(completion.run(), new RunClaim.Held(), now) : known;
        registry.finish(run, completion.outcome(), /* reason= */ "", completion.number(), now);
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
        handler.runFinished(run);
        if (!completion.outcome().isRecorded()) {
            registry.removeFinished(run); // owners confirm only successes and failures
        } else if (!run.isDurable()) {
            // A job that is not stored need not survive this process, so the next hold can acknowledge its completion.
            registry.retainLocally(run);
        }
    }
}
