package io.caperturn.fleet;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Loop of one process: the thread that does its network work is the one that decides.
 *
 * <p>A hand-over between two threads costs a wake-up for each frame, which a sidecar with half a core feels; decisions
 * take microseconds and never block.
 */
final class ProcessLoop implements DecisionLoop {
    private final EventLoop loop;
    private final DecisionLog log;

    ProcessLoop(EventLoop loop, DecisionLog log) {
        this.loop = loop;
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
            loop.execute(action);
        } else {
            loop.schedule(action, milliseconds, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public DecisionLog log() {
        return log;
    }
}
