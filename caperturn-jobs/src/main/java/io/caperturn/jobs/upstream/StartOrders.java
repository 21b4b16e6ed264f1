package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Orders to the upstream to start queued runs, as far as resources allow.
 *
 * <p>An unanswered order may still be carried out later. The start is therefore doubtful until the upstream has listed
 * its runs under a raised token: from then on the upstream refuses the old order. An order that could not be sent is
 * never carried out, so its run is returned to its owner at once.
 */
final class StartOrders {
    /** Pause of starts after a refusal for lack of resources or bad health, or of a connection, in milliseconds. */
    private static final long REFUSAL_PAUSE_MILLISECONDS = 100;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final UpstreamState state;
    private final HoldCycle holdCycle;
    private final AnswerTimeout answerTimeout;
    private final RunListener listener;
    private final Handler handler;
    /** Time until which no run is started, in milliseconds of the loop's clock. */
    private long pausedUntil;

    /** Whether the upstream has lacked resources for a run since its last listing; runs then start one at a time. */
    private boolean capacityUncertain;

    StartOrders(
            UpstreamPort port,
            DecisionLoop loop,
            RunRegistry registry,
            UpstreamState state,
            HoldCycle holdCycle,
            AnswerTimeout answerTimeout,
            RunListener listener,
            Handler handler) {
        this.port = port;
        this.loop = loop;
        this.registry = registry;
        this.state = state;
        this.holdCycle = holdCycle;
        this.answerTimeout = answerTimeout;
        this.listener = listener;
        this.handler = handler;
    }

    /** Receiver of the results of orders, and source of what decides whether they are given. */
    interface Handler {
        /** Returns whether new runs are accepted. */
        boolean isUsable();

        /** Returns whether this sidecar is about to end. */
        boolean isLeaving();

        /** Called when the upstream has accepted an order. */
        void startConfirmed(LocalRun run);

        /** Finishes a run that does not start, for a reason that its owner is told. */
        void refuse(LocalRun run, String reason);

        /** Called with each reading of the upstream's clock, in milliseconds. */
        void clockRead(long reading);
    }

    /** Starts queued runs in the order of their latest start, as far as resources allow. */
    void startQueued() {
        if (!handler.isUsable()
                || loop.monotonicMilliseconds() < pausedUntil
                || registry.hasRunOfUnknownNeed()
                || !state.isLeaseAvailable()) {
            return;
        }
        if (!state.isClockRead()) {
            if (!registry.queuedRuns().isEmpty()) {
                holdCycle.startHold(); // its answer starts them
            }
            return;
        }
        List<LocalRun> fitting = new ArrayList<>();
        Resources free = state.capacity().minus(registry.reservedResources());
        for (LocalRun run : registry.queuedRuns()) {
            if (free.covers(run.requiredResources())
                    && listener.isStartAllowed(run)
                    && (!capacityUncertain || fitting.isEmpty())) {
                fitting.add(run);
                free = free.minus(run.requiredResources());
            }
        }
        fitting.forEach(this::start);
    }

    /** Ends the uncertainty about the capacity: the upstream has listed its runs. */
    void listingChanged() {
        capacityUncertain = false;
    }

    private void start(LocalRun run) {
        registry.dequeue(run);
        run.markStarting(loop.monotonicMilliseconds());
        registry.reserveResources(run);
        Order order = state.leaseOrder();
        holdCycle.recordLeaseSent();
        loop.log()
                .event(
                        EventName.RUN_ORDERED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.UPSTREAM,
                        state.identity(),
                        EventKey.FENCE,
                        order.fenceToken(),
                        EventKey.WAITED,
                        loop.monotonicMilliseconds() - run.ownerChangedOrFinishedAt(),
                        EventKey.SLACK,
                        run.latestStartAt() - loop.monotonicMilliseconds());
        long sentAt = loop.monotonicMilliseconds();
        KnownIncarnation addressed = state.incarnation();
        port.start(run.identity(), run.payload(), order, answerTimeout.milliseconds(), answer -> {
            answerTimeout.record(answer, sentAt, loop.monotonicMilliseconds());
            if (addressed == state.incarnation()) {
                handleAnswer(run, order, answer);
            } else {
                handleAnswerOfEarlierIncarnation(run, answer);
            }
        });
    }

    private void handleAnswer(LocalRun run, Order order, Answer answer) {
        if (run.isInPhase(Phase.ENDED)) {
            return;
        }
        switch (answer) {
            case Answer.Accepted accepted
            when state.isClockOfAnotherIncarnation(accepted.clock()) -> {
                state.recordIdentityMismatch();
                doubt(run, order, "clock of another incarnation");
            }
            case Answer.Accepted accepted -> {
                handler.clockRead(accepted.clock());
                if (run.isInPhase(Phase.STARTING)) {
                    run.enterPhase(Phase.RUNNING);
                }
                handler.startConfirmed(run);
            }
            case Answer.Refused refused -> handleRefusal(run, order, refused);
            case Answer.Unanswered unanswered -> doubt(run, order, unanswered.reason());
            case Answer.NotSent notSent -> handleNotSent(run, notSent);
            case Answer.Listing ignored ->
                throw new IllegalStateException("a start must not be answered with a listing");
        }
    }

    /** Leaves it to the next listing, under a raised token, whether an order was carried out. */
    private void doubt(LocalRun run, Order order, String reason) {
        loop.log().event(EventName.START_DOUBTFUL, EventKey.RUN, run.identity(), EventKey.REASON, reason);
        loop.log().count("start-doubtful");
        if (run.isInPhase(Phase.STARTING)) {
            run.enterPhase(Phase.DOUBTFUL);
            if (order.fenceToken() == state.fenceToken()) {
                state.raiseFenceToken("doubtful-start");
            }
            holdCycle.startHold();
        }
    }

    /**
     * Handles the answer to an order that was sent before another incarnation of the upstream was noticed. If it may
     * have been carried out, the listing of the present incarnation shows whether the run is active there.
     */
    private void handleAnswerOfEarlierIncarnation(LocalRun run, Answer answer) {
        boolean notCarriedOut = answer instanceof Answer.Refused || answer instanceof Answer.NotSent;
        if (notCarriedOut && run.isInPhase(Phase.DOUBTFUL)) {
            handler.refuse(run, JobFrame.Report.UPSTREAM_REPLACED);
            listener.statusChanged();
        }
    }

    private void handleNotSent(LocalRun run, Answer.NotSent notSent) {
        loop.log().event(EventName.START_NOT_SENT, EventKey.RUN, run.identity(), EventKey.REASON, notSent.reason());
        loop.log().count("start-not-sent");
        if (run.isStopRequested()) {
            registry.finish(
                    run, RunOutcome.STOPPED, "withdrawn", /* completionNumber= */ 0, loop.monotonicMilliseconds());
            listener.runFinished(run);
        } else {
            handler.refuse(run, JobFrame.Report.UPSTREAM_UNREACHABLE);
        }
        pausedUntil = loop.monotonicMilliseconds() + REFUSAL_PAUSE_MILLISECONDS;
        holdCycle.recordOrderNotSent();
        listener.statusChanged();
    }

    /** Handles a refusal, for example of an expired lease (LATE), or of a run number that is not the highest (OLD). */
    private void handleRefusal(LocalRun run, Order order, Answer.Refused refused) {
        String reason = refused.reason().name().toLowerCase(Locale.ROOT);
        loop.log()
                .event(
                        EventName.START_REFUSED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.REASON,
                        reason,
                        EventKey.FENCE,
                        order.fenceToken());
        loop.log().count("start-refused-" + reason);
        if (refused.clock() > 0) {
            handler.clockRead(refused.clock());
        }
        switch (refused.reason()) {
            case FENCED -> {
                requeueOrFinish(run);
                if (order.fenceToken() == state.fenceToken()) {
                    state.raiseFenceToken("refused-by-fence");
                }
            }
            case LATE -> requeueOrFinish(run);
            case ROOM -> {
                requeueOrFinish(run);
                capacityUncertain = true;
                pausedUntil = loop.monotonicMilliseconds() + REFUSAL_PAUSE_MILLISECONDS;
            }
            case OLD, MALFORMED -> handler.refuse(run, reason);
            case UNHEALTHY -> {
                pausedUntil = loop.monotonicMilliseconds() + REFUSAL_PAUSE_MILLISECONDS;
                handler.refuse(run, reason);
            }
            case OTHER_INSTANCE -> {
                state.recordIdentityMismatch();
                handler.refuse(run, reason);
            }
        }
        holdCycle.startHold();
        listener.statusChanged();
    }

    /** Queues a run again whose start was refused, or finishes it if it is to be stopped or this sidecar is leaving. */
    private void requeueOrFinish(LocalRun run) {
        registry.releaseResources(run);
        if (run.isStopRequested() || handler.isLeaving()) {
            run.finish(RunOutcome.STOPPED, "withdrawn", /* completionNumber= */ 0, loop.monotonicMilliseconds());
            registry.removeRun(run);
            listener.runFinished(run);
        } else {
            registry.enqueue(run);
        }
    }
}
