package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;

/** Orders to the upstream to stop runs, each repeated until it is accepted or the run has ended. */
final class StopOrders {
    /** Pause before a stop that was not accepted is sent again, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 25;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final UpstreamState state;
    private final AnswerTimeout answerTimeout;
    private final HoldCycle holdCycle;

    StopOrders(
            UpstreamPort port,
            DecisionLoop loop,
            UpstreamState state,
            AnswerTimeout answerTimeout,
            HoldCycle holdCycle) {
        this.port = port;
        this.loop = loop;
        this.state = state;
        this.answerTimeout = answerTimeout;
        this.holdCycle = holdCycle;
    }

    /** Orders the stop of an active run, for a cause that is logged. */
    void stop(LocalRun run, String cause) {
        run.requestStop();
        loop.log()
                .event(
                        EventName.STOP_RUN,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.FENCE,
                        state.fenceToken());
        port.stop(run.identity(), state.orderWithoutLease(), answerTimeout.milliseconds(), answer -> {
            if (!(answer instanceof Answer.Accepted)) {
                retryLater(run);
            }
        });
        holdCycle.startHoldIfNeeded();
    }

    private void retryLater(LocalRun run) {
        loop.after(RETRY_MILLISECONDS, () -> {
            if (!run.isActive()) {
                return;
            }
            // A silent upstream stops its runs when their lease expires.
            if (holdCycle.isUpstreamSilent()) {
                retryLater(run);
            } else {
                stop(run, "stop-not-accepted");
            }
        });
    }
}
