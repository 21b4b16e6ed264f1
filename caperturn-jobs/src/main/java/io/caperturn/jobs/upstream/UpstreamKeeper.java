package io.caperturn.jobs.upstream;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/**
 * Keeper of the one upstream of a sidecar: starts what fits, has it held, and tells of its end.
 *
 * <p>An order without an answer may be carried out later. Before such a start counts as never begun, the fencing number
 * is raised and a listing under the new number has come: from then on the upstream refuses the old order.
 */
final class UpstreamKeeper implements HoldCycle.Handler {
    /**
     * Longest time after which an order is still carried out, with a margin, in milliseconds: twelve seconds are said.
     */
    private static final long LATEST_ORDER_MILLISECONDS = 13_000;
    /** Pause after a refusal that asks for one, in milliseconds. */
    private static final long REFUSAL_PAUSE_MILLISECONDS = 100;
    /** Pause before a stop without an answer is sent again, in milliseconds. */
    private static final long STOP_PAUSE_MILLISECONDS = 25;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final RunBook book;
    private final RunListener listener;
    private final UpstreamState state;
    private final HoldCycle holds;
    private long pausedUntil;
    private boolean leaving;
    private boolean roomInDoubt;

    UpstreamKeeper(UpstreamPort port, DecisionLoop loop, SidecarTimings settings, RunBook book, RunListener listener) {
        this.port = port;
        this.loop = loop;
        this.book = book;
        this.listener = listener;
        this.state = new UpstreamState(loop, settings.leaseMilliseconds());
        this.holds = new HoldCycle(port, loop, settings, book, state, this);
    }

    UpstreamState state() {
        return state;
    }

    /** Takes a number that the store has given to no other life of this sidecar. */
    void registered(long registration) {
        if (state.registered(registration)) {
            holds.hold();
        }
    }

    boolean isUsable() {
        return state.isWilling() && !leaving && !holds.isSilent();
    }

    /** Takes what the upstream says of itself, unless it is older than what is known. */
    void announced(UpstreamAnnouncement news) {
        UpstreamAnnouncement known = state.announcement();
        if (known != null && isOutdated(news, known)) {
            loop.log()
                    .event(
                            EventName.ANNOUNCEMENT_DROPPED,
                            EventKey.UPSTREAM,
                            news.identity(),
                            EventKey.BORN,
                            news.born(),
                            EventKey.CAUSE,
                            "older");
            return;
        }
        if (known == null || !known.identity().equals(news.identity()) || known.leaving() != news.leaving()) {
            loop.log()
                    .event(
                            EventName.UPSTREAM,
                            EventKey.IDENTITY,
                            news.identity(),
                            EventKey.BORN,
                            news.born(),
                            EventKey.LEAVING,
                            news.leaving(),
                            EventKey.SERVICE,
                            news.description().service(),
                            EventKey.CAPACITY,
                            news.description().capacity().processorMillis());
        }
        if (state.answeredBy(news.identity(), news.born())) {
            reborn();
        }
        state.announcement(news);
        if (news.leaving()) {
            refuseQueue("upstream-leaving");
        }
        listener.changed();
        holds.holdIfNeeded();
        startNext();
    }

    private static boolean isOutdated(UpstreamAnnouncement news, UpstreamAnnouncement known) {
        boolean sameLife = news.born() == known.born() && news.identity().equals(known.identity());
        return sameLife ? news.sequence() <= known.sequence() : news.born() < known.born();
    }

    /** Notes that the upstream has gone; what ran there ended with it. */
    void departed(String who) {
        if (state.announcement() == null || !state.announcement().identity().equals(who)) {
            return;
        }
        loop.log().event(EventName.UPSTREAM_GONE, EventKey.IDENTITY, who);
        state.announcement(null);
        endAll(LocalRun::holdsRoom, "upstream-gone");
        refuseQueue("upstream-gone");
        listener.changed();
    }

    /** Takes nothing new and gives waiting runs back. */
    void leave() {
        leaving = true;
        refuseQueue("sidecar-leaving");
        listener.changed();
    }

    /** Starts waiting runs, the one that has to start first before the others, as far as there is room. */
    void startNext() {
        if (!isUsable() || !state.isClockKnown() || loop.monotonicMilliseconds() < pausedUntil) {
            return;
        }
        List<LocalRun> fitting = new ArrayList<>();
        Resources free = state.capacity().minus(book.used());
        for (LocalRun run : book.queue()) {
            if (free.covers(run.need()) && listener.mayStart(run) && (!roomInDoubt || fitting.isEmpty())) {
                fitting.add(run);
                free = free.minus(run.need());
            }
        }
        fitting.forEach(this::start);
        if (!fitting.isEmpty()) {
            listener.changed();
        }
    }

    /** Stops a run, or drops it if it waits. */
    void withdraw(LocalRun run, String cause) {
        switch (run.phase()) {
            case QUEUED -> {
                book.end(run, RunOutcome.STOPPED, cause, 0, loop.monotonicMilliseconds());
                listener.ended(run);
                listener.changed();
            }
            case STARTING, DOUBTFUL -> run.wantStop();
            case RUNNING -> stop(run, cause);
            case ENDED -> {}
        }
    }

    /** Forgets an end, and tells the upstream with the next hold. */
    void settled(LocalRun run) {
        book.settle(run);
        holds.holdIfNeeded();
    }

    /** Looks after leases and pauses; called at short intervals. */
    void tick() {
        if (holds.isLapsed()) {
            endAll(run -> run.isIn(Phase.RUNNING), "upstream-silent");
            endAll(
                    run -> run.isIn(Phase.DOUBTFUL) && loop.monotonicMilliseconds() - run.startedAt() > LATEST_ORDER_MILLISECONDS,
                    "upstream-silent");
        }
        startNext();
        holds.holdIfNeeded();
    }

    private void start(LocalRun run) {
        book.dequeue(run);
        run.starting(loop.monotonicMilliseconds());
        book.take(run);
        Order order = state.order();
        holds.leaseSent();
        loop.log()
                .event(
                        EventName.RUN_ORDERED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.UPSTREAM,
                        state.identity(),
                        EventKey.FENCE,
                        order.fence(),
                        EventKey.WAITED,
                        loop.monotonicMilliseconds() - run.since(),
                        EventKey.SLACK,
                        run.startBy() - loop.monotonicMilliseconds());
        port.start(run.identity(), run.payload(), order, answer -> startAnswered(run, order, answer));
    }

    private void startAnswered(LocalRun run, Order order, Answer answer) {
        if (run.isIn(Phase.ENDED)) {
            return;
        }
        switch (answer) {
            case Answer.Accepted accepted -> {
                clock(accepted.clock());
                if (run.isIn(Phase.STARTING)) {
                    run.enter(Phase.RUNNING);
                }
                confirmed(run);
            }
            case Answer.Refused refused -> startRefused(run, order, refused);
            case Answer.Unanswered unanswered -> {
                loop.log()
                        .event(
                                EventName.START_DOUBTFUL,
                                EventKey.RUN,
                                run.identity(),
                                EventKey.REASON,
                                unanswered.reason());
                loop.log().count("start-doubtful");
                if (run.isIn(Phase.STARTING)) {
                    run.enter(Phase.DOUBTFUL);
                    if (order.fence() == state.fence()) {
                        state.raiseFence("doubtful-start");
                    }
                    holds.hold();
                }
            }
            case Answer.Listing ignored -> throw new IllegalStateException("a start is not answered by a listing");
        }
    }

    @Override
    public void confirmed(LocalRun run) {
        listener.started(run);
        if (run.isStopWanted()) {
            stop(run, "withdrawn-at-start");
        }
        holds.holdIfNeeded();
    }

    private void startRefused(LocalRun run, Order order, Answer.Refused refused) {
        String reason = refused.reason().name().toLowerCase(Locale.ROOT);
        loop.log()
                .event(
                        EventName.START_REFUSED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.REASON,
                        reason,
                        EventKey.FENCE,
                        order.fence());
        loop.log().count("start-refused-" + reason);
        if (refused.clock() > 0) {
            clock(refused.clock());
        }
        switch (refused.reason()) {
            case FENCED -> {
                giveBack(run);
                if (order.fence() == state.fence()) {
                    state.raiseFence("refused-by-fence");
                }
            }
            case LATE -> giveBack(run);
            case ROOM -> {
                giveBack(run);
                roomInDoubt = true;
                pausedUntil = loop.monotonicMilliseconds() + REFUSAL_PAUSE_MILLISECONDS;
            }
            case OLD, MALFORMED -> refuse(run, reason);
            case UNHEALTHY -> {
                pausedUntil = loop.monotonicMilliseconds() + REFUSAL_PAUSE_MILLISECONDS;
                refuse(run, reason);
            }
            case OTHER_INSTANCE -> {
                state.mistaken();
                refuse(run, reason);
            }
        }
        holds.hold();
        listener.changed();
    }

    private void giveBack(LocalRun run) {
        book.release(run);
        if (run.isStopWanted() || leaving) {
            run.end(RunOutcome.STOPPED, "withdrawn", 0, loop.monotonicMilliseconds());
            book.forget(run);
            listener.ended(run);
        } else {
            book.enqueue(run);
        }
    }

    private void refuse(LocalRun run, String why) {
        book.end(run, RunOutcome.REFUSED, why, 0, loop.monotonicMilliseconds());
        listener.ended(run);
    }

    private void stop(LocalRun run, String cause) {
        run.wantStop();
        loop.log()
                .event(
                        EventName.STOP_RUN,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.FENCE,
                        state.fence());
        port.stop(run.identity(), state.orderWithoutLease(), answer -> {
            if (!(answer instanceof Answer.Accepted) && run.holdsRoom()) {
                loop.after(STOP_PAUSE_MILLISECONDS, () -> {
                    if (run.holdsRoom()) {
                        stop(run, "stop-not-accepted");
                    }
                });
            }
        });
        holds.holdIfNeeded();
    }

    @Override
    public void ended(LocalRun run) {
        listener.ended(run);
    }

    @Override
    public void standsStill(LocalRun run) {
        listener.standsStill(run);
    }

    @Override
    public void news(boolean firstListing) {
        roomInDoubt = false;
        if (firstListing) {
            listener.listed();
        }
        listener.changed();
        startNext();
    }

    @Override
    public void reborn() {
        book.restartNumbers();
        // An order may have reached the new life before this process knew of it, so the next listing decides.
        book.all().stream().filter(LocalRun::holdsRoom).forEach(run -> run.enter(Phase.DOUBTFUL));
    }

    @Override
    public void silent() {
        refuseQueue("upstream-silent");
        listener.changed();
    }

    @Override
    public void clock(long reading) {
        if (state.readClock(reading)) {
            listener.suspended();
        }
    }

    private void endAll(Predicate<LocalRun> wanted, String cause) {
        for (LocalRun run : book.all().stream().filter(wanted).toList()) {
            loop.log().event(EventName.RUN_LAPSED, EventKey.RUN, run.identity(), EventKey.CAUSE, cause);
            book.end(run, RunOutcome.LAPSED, cause, 0, loop.monotonicMilliseconds());
            listener.ended(run);
        }
    }

    private void refuseQueue(String cause) {
        for (LocalRun run : List.copyOf(book.queue())) {
            refuse(run, cause);
        }
    }
}
