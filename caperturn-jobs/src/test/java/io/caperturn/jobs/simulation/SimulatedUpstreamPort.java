package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.upstream.UpstreamPort;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Port of a sidecar process to a simulated upstream: calls take a millisecond, unless a fault is simulated. */
final class SimulatedUpstreamPort implements UpstreamPort {
    private static final long LATENCY_MILLISECONDS = 1;

    private final SimulatedUpstream upstream;
    private final VirtualTime time;
    private final VirtualLoop loop;

    SimulatedUpstreamPort(SimulatedUpstream upstream, VirtualTime time, VirtualLoop loop) {
        this.upstream = upstream;
        this.time = time;
        this.loop = loop;
    }

    @Override
    public void start(
            RunIdentity run, String payload, Order order, long timeoutMilliseconds, Consumer<Answer> receiver) {
        executeOrder(timeoutMilliseconds, receiver, () -> upstream.doStart(run, order));
    }

    @Override
    public void stop(RunIdentity run, Order order, long timeoutMilliseconds, Consumer<Answer> receiver) {
        executeOrder(timeoutMilliseconds, receiver, () -> upstream.doStop(run, order));
    }

    private void executeOrder(long timeoutMilliseconds, Consumer<Answer> receiver, Supplier<Answer> action) {
        if (upstream.isRefusingConnections()) {
            refuseConnection(receiver);
            return;
        }
        if (isSilent()) {
            leaveUnanswered(timeoutMilliseconds, receiver);
            return;
        }
        long delay = upstream.unansweredOrders().nextOrderDelay();
        if (delay > 0) {
            time.after(delay, action::get);
            leaveUnanswered(timeoutMilliseconds, receiver);
        } else {
            time.after(LATENCY_MILLISECONDS, () -> {
                if (upstream.isRefusingConnections()) {
                    refuseConnection(receiver);
                    return;
                }
                Answer executed = action.get();
                Answer answer = isSilent() ? new Answer.Unanswered("connection closed") : executed;
                loop.run(() -> receiver.accept(answer));
            });
        }
    }

    private boolean isSilent() {
        return upstream.isDown() || upstream.unansweredOrders().isCutOff();
    }

    private void refuseConnection(Consumer<Answer> receiver) {
        time.after(
                LATENCY_MILLISECONDS, () -> loop.run(() -> receiver.accept(new Answer.NotSent("connection refused"))));
    }

    private void leaveUnanswered(long timeoutMilliseconds, Consumer<Answer> receiver) {
        time.after(timeoutMilliseconds, () -> loop.run(() -> receiver.accept(new Answer.Unanswered("late"))));
    }

    @Override
    public void hold(
            Order order,
            long acknowledged,
            long waitMilliseconds,
            long timeoutMilliseconds,
            Consumer<Answer> receiver) {
        upstream.recordHold();
        if (upstream.isRefusingConnections()) {
            refuseConnection(receiver);
            return;
        }
        if (isSilent()) {
            leaveUnanswered(waitMilliseconds + timeoutMilliseconds, receiver);
            return;
        }
        long delay = upstream.unansweredOrders().nextHoldDelay();
        if (delay > 0) {
            time.after(delay, () -> upstream.extendLeaseLate(order, acknowledged));
            leaveUnanswered(waitMilliseconds + timeoutMilliseconds, receiver);
        } else {
            time.after(LATENCY_MILLISECONDS, () -> executeHold(order, acknowledged, waitMilliseconds, receiver));
        }
    }

    private void executeHold(Order order, long acknowledged, long waitMilliseconds, Consumer<Answer> receiver) {
        if (upstream.isRefusingConnections()) {
            refuseConnection(receiver);
            return;
        }
        Optional<Answer> refusal = upstream.doHold(order, acknowledged);
        if (refusal.isPresent()) {
            loop.run(() -> receiver.accept(refusal.get()));
            return;
        }
        WaitingHold hold = new WaitingHold(receiver);
        if (waitMilliseconds == 0 || upstream.hasCompletions()) {
            hold.answer();
        } else {
            upstream.addPendingHold(hold);
            time.after(waitMilliseconds, hold::answer);
        }
    }

    private final class WaitingHold implements SimulatedUpstream.PendingHold {
        private final Consumer<Answer> receiver;
        private boolean answered;

        WaitingHold(Consumer<Answer> receiver) {
            this.receiver = receiver;
        }

        @Override
        public void answer() {
            if (!answered) {
                answered = true;
                Answer answer = isSilent() ? new Answer.Unanswered("late") : upstream.listing();
                loop.run(() -> receiver.accept(answer));
            }
        }

        @Override
        public void close() {
            if (!answered) {
                answered = true;
                loop.run(() -> receiver.accept(new Answer.Unanswered("connection closed")));
            }
        }
    }
}
