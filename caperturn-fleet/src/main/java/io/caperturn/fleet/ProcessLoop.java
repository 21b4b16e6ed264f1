package io.caperturn.fleet;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.UnexpectedExceptions;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Loop of one process, which runs its scheduling decisions and timers on the thread of its Netty event loop.
 *
 * <p>Network input and decisions share one thread: a hand-over between two threads would cost a wake-up for each
 * received message, which is noticeable in a process with half a core, whereas decisions take microseconds and never
 * block.
 */
final class ProcessLoop implements DecisionLoop {
    private final EventLoop eventLoop;
    private final DecisionLog log;

    ProcessLoop(EventLoop eventLoop, DecisionLog log) {
        this.eventLoop = eventLoop;
        this.log = log;
    }

    @Override
    public long monotonicMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallClockMilliseconds() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(long milliseconds, Runnable action) {
        if (milliseconds == 0) {
            eventLoop.execute(() -> run(action));
        } else {
            eventLoop.schedule(() -> run(action), milliseconds, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs an action; an unexpected exception ends that action only, and is logged. */
    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            UnexpectedExceptions.record(log, e);
        }
    }

    @Override
    public DecisionLog log() {
        return log;
    }
}
