package io.caperturn.jobs.simulation;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.ArrayList;
import java.util.List;

/** Event loop of one simulated process, which can be killed, frozen, or suspended so that its own clock stops. */
final class VirtualLoop implements DecisionLoop, DecisionLog {
    /** A process that logs more lines than this is in an endless loop. */
    private static final int MAX_LINES = 20_000;

    private final VirtualTime time;
    private final String name;
    private final List<Runnable> deferred = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private boolean dead;
    private boolean frozen;
    private long suspendedMilliseconds;
    private long frozenAt;

    VirtualLoop(VirtualTime time, String name) {
        this.time = time;
        this.name = name;
    }

    @Override
    public long monotonicMilliseconds() {
        return time.now() - suspendedMilliseconds;
    }

    @Override
    public long wallClockMilliseconds() {
        return 1_700_000_000_000L + time.now();
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
            deferred.add(action);
        } else if (!dead) {
            action.run();
        }
    }

    boolean isDead() {
        return dead;
    }

    void kill() {
        dead = true;
    }

    void freeze() {
        frozen = true;
        frozenAt = time.now();
    }

    /**
     * Resumes a frozen process and runs its deferred actions.
     *
     * @param suspended whether the monotonic clock of the process stood still while it was frozen
     */
    void thaw(boolean suspended) {
        frozen = false;
        if (suspended) {
            suspendedMilliseconds += time.now() - frozenAt;
        }
        List<Runnable> ready = List.copyOf(deferred);
        deferred.clear();
        ready.forEach(this::run);
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
        if (lines.size() > MAX_LINES) {
            throw new IllegalStateException(
                    "too many lines; the last are " + lines.subList(lines.size() - 20, lines.size()));
        }
        lines.add(line.toString());
    }

    @Override
    public void count(String counter) {}

    @Override
    public void duration(String histogram, long milliseconds) {}

    List<String> lines() {
        return lines;
    }
}
