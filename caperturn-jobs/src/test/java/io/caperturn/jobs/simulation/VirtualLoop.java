package io.caperturn.jobs.simulation;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import java.util.ArrayList;
import java.util.List;

/** Loop of one simulated process: it can be ended, frozen, and suspended so that its own clock stands still. */
final class VirtualLoop implements DecisionLoop, DecisionLog {
    /** A process that writes more than this is caught in a loop. */
    private static final int MOST_LINES = 20_000;

    private final VirtualTime time;
    private final String name;
    private final List<Runnable> held = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private boolean dead;
    private boolean frozen;
    private long lost;
    private long frozenAt;

    VirtualLoop(VirtualTime time, String name) {
        this.time = time;
        this.name = name;
    }

    @Override
    public long monotonicMilliseconds() {
        return time.now() - lost;
    }

    @Override
    public long wallClockMilliseconds() {
        return 1_700_000_000_000L + time.now();
    }

    @Override
    public void after(long milliseconds, Runnable action) {
        time.after(milliseconds, () -> run(action));
    }

    /** Runs an action as this process would: not after its end, and late if it is frozen. */
    void run(Runnable action) {
        if (frozen) {
            held.add(action);
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

    /** Goes on; a suspended process's clock has not counted the time. */
    void thaw(boolean suspended) {
        frozen = false;
        if (suspended) {
            lost += time.now() - frozenAt;
        }
        List<Runnable> late = List.copyOf(held);
        held.clear();
        late.forEach(this::run);
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
        if (lines.size() > MOST_LINES) {
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
