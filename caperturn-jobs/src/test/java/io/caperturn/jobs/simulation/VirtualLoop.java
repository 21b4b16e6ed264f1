package io.caperturn.jobs.simulation;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.ArrayList;
import java.util.List;

/** Event loop, clock and log of one simulated process, which can be killed, frozen and resumed. */
public final class VirtualLoop implements DecisionLoop, DecisionLog {
    /** A process that logs more lines than this is in an endless loop. */
    private static final int MAX_LOG_LINES = 20_000;

    private final VirtualTime time;
    private final String name;
    private final List<Runnable> deferredActions = new ArrayList<>();
    /** Actions of a frozen process that are run after all others once it is resumed. */
    private final List<Runnable> lastDeferredActions = new ArrayList<>();

    private long lastActionsDelayMilliseconds;

    private final List<String> logLines = new ArrayList<>();
    private boolean killed;
    private boolean frozen;
    /** Time for which the clock of the process has stood still. */
    private long clockLagMilliseconds;

    private long frozenAt;
    private long wallClockOffsetMilliseconds;

    /**
     * Creates the loop of a process.
     *
     * @param time the time that all processes share
     * @param name name of the process, for its log lines
     */
    public VirtualLoop(VirtualTime time, String name) {
        this.time = time;
        this.name = name;
    }

    @Override
    public long monotonicMilliseconds() {
        return time.now() - clockLagMilliseconds;
    }

    @Override
    public long wallClockMilliseconds() {
        return 1_700_000_000_000L + time.now() + wallClockOffsetMilliseconds;
    }

    /** Sets the wall clock of the process ahead, or back by a negative number of milliseconds. */
    void stepWallClock(long milliseconds) {
        wallClockOffsetMilliseconds += milliseconds;
    }

    @Override
    public void after(long milliseconds, Runnable action) {
        time.after(milliseconds, () -> run(action));
    }

    /**
     * Runs an action in this process: drops it if the process was killed, and defers it while the process is frozen.
     */
    void run(Runnable action) {
        if (frozen) {
            deferredActions.add(action);
        } else if (!killed) {
            action.run();
        }
    }

    /**
     * Runs an action like {@link #run}, but after all others that are deferred: an event loop reads from the sockets
     * that are ready in any order.
     */
    void runLast(Runnable action) {
        if (frozen) {
            lastDeferredActions.add(action);
        } else {
            run(action);
        }
    }

    /** Sets how long after the others the last actions are run once the process is resumed, in milliseconds. */
    void delayLastActions(long milliseconds) {
        lastActionsDelayMilliseconds = milliseconds;
    }

    /** Returns whether the process answers now: one that is killed or frozen completes no opening of a link. */
    boolean isResponsive() {
        return !killed && !frozen;
    }

    boolean isKilled() {
        return killed;
    }

    void kill() {
        killed = true;
    }

    void freeze() {
        frozen = true;
        frozenAt = time.now();
    }

    /**
     * Resumes a frozen process and runs its deferred actions.
     *
     * @param clockStoodStill true if the process was suspended, so that its monotonic clock did not advance meanwhile
     */
    void resume(boolean clockStoodStill) {
        frozen = false;
        if (clockStoodStill) {
            clockLagMilliseconds += time.now() - frozenAt;
        }
        List<Runnable> ready = List.copyOf(deferredActions);
        List<Runnable> last = List.copyOf(lastDeferredActions);
        deferredActions.clear();
        lastDeferredActions.clear();
        ready.forEach(this::run);
        if (lastActionsDelayMilliseconds == 0) {
            last.forEach(this::run);
        } else {
            last.forEach(action -> after(lastActionsDelayMilliseconds, action));
        }
    }

    @Override
    public DecisionLog log() {
        return this;
    }

    @Override
    public void event(EventName event, Object... pairs) {
        StringBuilder line = new StringBuilder(time.now() + " " + name + " " + event.label());
        for (int index = 0; index + 1 < pairs.length; index += 2) {
            EventKey key = (EventKey) pairs[index];
            line.append(' ').append(key.label()).append(' ').append(pairs[index + 1]);
        }
        if (logLines.size() > MAX_LOG_LINES) {
            throw new IllegalStateException(
                    "too many lines; the last are " + logLines.subList(logLines.size() - 20, logLines.size()));
        }
        logLines.add(line.toString());
    }

    @Override
    public void count(String counter) {}

    @Override
    public void duration(String histogram, long milliseconds) {}

    @Override
    public void level(String level, long value) {}

    /**
     * Returns the log lines of the process so far.
     *
     * @return the lines, each with the time, the name of the process and the event
     */
    public List<String> logLines() {
        return logLines;
    }
}
