package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.upstream.UpstreamPort;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests a listing of an upstream that arrives after a later one; all times are virtual and in milliseconds. */
class OvertakenListingTest {
    private static final Resources NEED = new Resources(1_600, 64, 0);

    /** Port over which the answers to certain holds arrive late. */
    private static final class LateAnswers implements UpstreamPort {
        private final VirtualTime time;
        private final UpstreamPort port;
        private long delayOfNextHold;

        LateAnswers(VirtualTime time, UpstreamPort port) {
            this.time = time;
            this.port = port;
        }

        @Override
        public void start(
                RunIdentity run, String payload, Order order, long timeoutMilliseconds, Consumer<Answer> receiver) {
            port.start(run, payload, order, timeoutMilliseconds, receiver);
        }

        @Override
        public void stop(RunIdentity run, Order order, long timeoutMilliseconds, Consumer<Answer> receiver) {
            port.stop(run, order, timeoutMilliseconds, receiver);
        }

        @Override
        public void hold(
                Order order,
                long acknowledged,
                long waitMilliseconds,
                long timeoutMilliseconds,
                Consumer<Answer> receiver) {
            long delay = delayOfNextHold;
            delayOfNextHold = 0;
            port.hold(
                    order,
                    acknowledged,
                    waitMilliseconds,
                    timeoutMilliseconds,
                    delay == 0 ? receiver : answer -> time.after(delay, () -> receiver.accept(answer)));
        }
    }

    private LateAnswers port;
    private final SingleSidecar sidecar = new SingleSidecar(
            /* taskMilliseconds= */ 100, (time, usual) -> {
                port = new LateAnswers(time, usual);
                return port;
            });

    private static RunIdentity run(int task) {
        return new RunIdentity(new TaskIdentity("job", 0, 0, task), 1);
    }

    private void dispatch(int task) {
        sidecar.controller()
                .handleFrame(
                        SingleSidecar.ENTRY,
                        new JobFrame.Dispatch(
                                task + 1, run(task), "payload", NEED, 100, 5_000, 0, true, true, "queue", false, 1));
    }

    private void advance(long milliseconds) {
        sidecar.time().runUntil(sidecar.time().now() + milliseconds);
    }

    /**
     * Guards against runs that have ended long ago and seem to be active again, because answers overtook each other.
     */
    @Test
    void runIsNotFoundAgainByAListingThatALaterOneHasOvertaken() {
        // The first run ends after 100 ms, and the hold that is answered then, with the second run as active, is late.
        port.delayOfNextHold = 400;
        dispatch(0);
        advance(60);
        dispatch(1);
        advance(190);
        // A new registration has the runs listed, of which both have ended.
        sidecar.controller().setRegistration(2);
        advance(50);
        for (int task = 0; task < 2; task++) {
            assertTrue(sidecar.finalReportOn(run(task)).isPresent(), "the later listing shows the end of the run");
            sidecar.controller().handleFrame(SingleSidecar.ENTRY, new JobFrame.Settled(run(task)));
        }
        sidecar.frames().clear();
        advance(230);

        assertEquals(
                0,
                sidecar.frames().stream()
                        .filter(frame -> frame instanceof JobFrame.Status status && status.runningTasks() > 0)
                        .count(),
                () -> "frames: " + sidecar.frames());
        advance(1_000);
        assertTrue(sidecar.controller().isIdle(), "all ends are acknowledged");
    }
}
