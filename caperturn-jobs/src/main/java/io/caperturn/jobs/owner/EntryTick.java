package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.UnexpectedExceptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Periodic duties of an entry, a process that accepts jobs. An unexpected exception ends one duty in one round, and
 * neither the other duties nor the following rounds.
 */
final class EntryTick {
    /** Interval of the rounds, in milliseconds. */
    private static final long INTERVAL_MILLISECONDS = 50;
    /** Interval at which a duty that fails in every round is logged, in milliseconds. */
    private static final long LOG_INTERVAL_MILLISECONDS = 1_000;

    private final DecisionLoop loop;
    private final List<Duty> duties;
    /** When a failure of a duty was last logged, in milliseconds of the loop's clock, by the name of the duty. */
    private final Map<String, Long> loggedAt = new HashMap<>();

    private boolean stopped;

    /**
     * Creates duties that are not carried out yet.
     *
     * @param loop the loop on which all calls are made
     * @param duties the duties, in their order
     */
    EntryTick(DecisionLoop loop, List<Duty> duties) {
        this.loop = loop;
        this.duties = List.copyOf(duties);
    }

    /**
     * One duty.
     *
     * @param name name for the log
     * @param action what is done in each round
     */
    record Duty(String name, Runnable action) {}

    /** Starts the rounds; the first one is due after an interval. */
    void start() {
        loop.after(INTERVAL_MILLISECONDS, this::runAll);
    }

    /** Ends the rounds; called by a duty, it ends the round in which that duty is carried out. */
    void stop() {
        stopped = true;
    }

    private void runAll() {
        if (stopped) {
            return;
        }
        loop.after(INTERVAL_MILLISECONDS, this::runAll);
        for (Duty duty : duties) {
            if (!stopped) {
                run(duty);
            }
        }
    }

    private void run(Duty duty) {
        try {
            duty.action().run();
        } catch (RuntimeException e) {
            loop.log().count("duty-failed");
            long now = loop.monotonicMilliseconds();
            Long last = loggedAt.get(duty.name());
            if (last == null || now - last >= LOG_INTERVAL_MILLISECONDS) {
                loggedAt.put(duty.name(), now);
                UnexpectedExceptions.record(loop.log(), e, EventKey.DUTY, duty.name());
            }
        }
    }
}
