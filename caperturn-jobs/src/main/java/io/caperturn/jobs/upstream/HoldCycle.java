package io.caperturn.jobs.upstream;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.upstream.UpstreamPort.Answer;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The one hold that is under way at a time: it extends the lease, waits for ends, and lists what the upstream has. */
final class HoldCycle {
    /** Pause between listings that bring nothing new while ends wait to be stored, in milliseconds. */
    private static final long IDLE_PAUSE_MILLISECONDS = 25;
    /** Pause after a refusal or a silence, in milliseconds. */
    private static final long FAULT_PAUSE_MILLISECONDS = 100;
    /** Holds without an answer after which leases are no longer extended. */
    private static final int MISSED_HOLDS = 2;
    /** An upstream's clock may be this much slower than ours, in percent. */
    private static final long CLOCK_DRIFT_PERCENT = 2;
    /** Least time without a move after which a run stands still, in milliseconds: more than a wait of a hold. */
    private static final long STILL_MILLISECONDS = 300;
    /** Margin on top of a lease for what timers add, in milliseconds. */
    private static final long LEASE_MARGIN_MILLISECONDS = 150;

    private final UpstreamPort port;
    private final DecisionLoop loop;
    private final SidecarTimings settings;
    private final RunBook book;
    private final UpstreamState state;
    private final Handler handler;
    private boolean underWay;
    private boolean wanted;
    private long missed;
    private long lastLeaseSent;
    private long pausedUntil = Long.MIN_VALUE;

    HoldCycle(
            UpstreamPort port,
            DecisionLoop loop,
            SidecarTimings settings,
            RunBook book,
            UpstreamState state,
            Handler handler) {
        this.port = port;
        this.loop = loop;
        this.settings = settings;
        this.book = book;
        this.state = state;
        this.handler = handler;
    }

    /** Receiver of what holds bring. */
    interface Handler {
        /** An order without an answer was carried out after all. */
        void confirmed(LocalRun run);

        /** A run has not moved for longer than its size explains. */
        void standsStill(LocalRun run);

        /** A run is over. */
        void ended(LocalRun run);

        /** A listing brought something new. */
        void news(boolean firstListing);

        /** Another life of the upstream answered. */
        void reborn();

        /** Several holds went unanswered. */
        void silent();

        /** The upstream told its clock. */
        void clock(long reading);
    }

    boolean isSilent() {
        return missed >= MISSED_HOLDS;
    }

    /** Notes an order that extends the lease. */
    void leaseSent() {
        lastLeaseSent = loop.monotonicMilliseconds();
    }

    /** Tells whether all leases must have ended. */
    boolean isLapsed() {
        long lease = settings.leaseMilliseconds() * (100 + CLOCK_DRIFT_PERCENT) / 100 + LEASE_MARGIN_MILLISECONDS;
        return isSilent() && loop.monotonicMilliseconds() > lastLeaseSent + lease;
    }

    /** Begins a hold if one is needed. */
    void holdIfNeeded() {
        if (!state.isListed() || book.holdingCount() > 0 || book.acknowledgeable() > book.acknowledged()) {
            hold();
        }
    }

    /** Begins a hold, or another one after that which is under way. */
    void hold() {
        if (state.fence() == 0) {
            return;
        }
        if (underWay || loop.monotonicMilliseconds() < pausedUntil) {
            wanted = true;
            return;
        }
        underWay = true;
        wanted = false;
        Order order = !isSilent() && state.isListed() ? state.order() : state.orderWithoutLease();
        if (order.leaseUntil() > 0) {
            leaseSent();
        }
        long sent = loop.monotonicMilliseconds();
        long acknowledged = book.acknowledgeable();
        long wait = state.isListed() && acknowledged == book.acknowledged() ? settings.holdWaitMilliseconds() : 0;
        port.hold(order, acknowledged, wait, answer -> {
            underWay = false;
            answered(order, acknowledged, wait, sent, answer);
        });
    }

    private void answered(Order order, long acknowledged, long wait, long sent, Answer answer) {
        switch (answer) {
            case Answer.Listing listing -> {
                missed = 0;
                if (state.answeredBy(listing.identity(), listing.born())) {
                    handler.reborn();
                } else {
                    book.acknowledged(acknowledged);
                }
                handler.clock(listing.clock());
                boolean news = take(listing, order, sent);
                boolean quick = loop.monotonicMilliseconds() - sent < wait / 2;
                again(!news && quick && !wanted ? IDLE_PAUSE_MILLISECONDS : 0);
            }
            case Answer.Refused refused -> refused(order, refused);
            case Answer.Unanswered unanswered -> {
                missed++;
                loop.log()
                        .event(
                                EventName.HOLD_UNANSWERED,
                                EventKey.MISSED,
                                missed,
                                EventKey.REASON,
                                unanswered.reason());
                if (missed == MISSED_HOLDS) {
                    handler.silent();
                }
                pause(isSilent() ? FAULT_PAUSE_MILLISECONDS : 0);
            }
            case Answer.Accepted ignored -> throw new IllegalStateException("a hold is answered by a listing");
        }
    }

    private void refused(Order order, Answer.Refused refused) {
        loop.log().event(EventName.HOLD_REFUSED, EventKey.REASON, refused.reason(), EventKey.FENCE, order.fence());
        if (refused.clock() > 0) {
            handler.clock(refused.clock());
        }
        if (refused.reason() == UpstreamPort.Refusal.FENCED && order.fence() == state.fence()) {
            state.raiseFence("refused-by-fence");
        }
        if (refused.reason() == UpstreamPort.Refusal.OTHER_INSTANCE) {
            state.mistaken();
        }
        pause(FAULT_PAUSE_MILLISECONDS);
    }

    /** Lets no hold begin for a time, whoever wants one. */
    private void pause(long milliseconds) {
        pausedUntil = loop.monotonicMilliseconds() + milliseconds;
        again(milliseconds);
    }

    private void again(long pause) {
        if (pause > 0) {
            loop.after(pause, this::againNow);
        } else {
            againNow();
        }
    }

    private void againNow() {
        if (wanted) {
            hold();
        } else if (!underWay) {
            holdIfNeeded();
        }
    }

    private boolean take(Answer.Listing listing, Order order, long sent) {
        boolean news = false;
        long now = loop.monotonicMilliseconds();
        for (UpstreamPort.Completion end : listing.completions()) {
            if (book.noteEnd(end.number(), end.run())) {
                news = true;
                noteEnd(end, now);
            }
        }
        Set<RunIdentity> running = new HashSet<>();
        for (UpstreamPort.Running entry : listing.running()) {
            running.add(entry.run());
            LocalRun known = book.find(entry.run());
            if (known == null) {
                loop.log().event(EventName.RUN_FOUND, EventKey.RUN, entry.run(), EventKey.FENCE, order.fence());
                book.discover(entry.run(), now);
                news = true;
            } else if (known.isIn(Phase.DOUBTFUL)) {
                known.enter(Phase.RUNNING);
                handler.confirmed(known);
            } else if (known.standsStill(entry.percent(), now, STILL_MILLISECONDS)) {
                loop.log().event(EventName.STANDS_STILL, EventKey.RUN, entry.run(), EventKey.PERCENT, entry.percent());
                handler.standsStill(known);
            }
        }
        if (listing.complete()) {
            endMissing(running, order, sent);
        }
        boolean everListed = state.wasEverListed();
        boolean first = state.listed(order.fence());
        if (news || first) {
            handler.news(!everListed && state.isListed());
        }
        return news || first;
    }

    private void noteEnd(UpstreamPort.Completion end, long now) {
        LocalRun known = book.find(end.run());
        LocalRun run = known == null ? book.discover(end.run(), now) : known;
        book.end(run, end.outcome(), "", end.number(), now);
        loop.log()
                .event(
                        EventName.ENDED,
                        EventKey.RUN,
                        end.run(),
                        EventKey.OUTCOME,
                        end.outcome(),
                        EventKey.NUMBER,
                        end.number(),
                        EventKey.RAN,
                        run.runMilliseconds());
        loop.log().duration("run", run.runMilliseconds());
        handler.ended(run);
        if (!end.outcome().isRecorded()) {
            book.settle(run);
        }
    }

    /** Ends runs that a complete listing under the present fence shows as neither running nor ended. */
    private void endMissing(Set<RunIdentity> running, Order order, long sent) {
        List<LocalRun> missing = new ArrayList<>();
        for (LocalRun run : book.all()) {
            boolean voided = run.isIn(Phase.DOUBTFUL) && order.fence() == state.fence();
            boolean vanished = run.isIn(Phase.RUNNING) && run.startedAt() < sent - settings.answerMilliseconds();
            if (!running.contains(run.identity()) && (voided || vanished)) {
                missing.add(run);
            }
        }
        for (LocalRun run : missing) {
            loop.log()
                    .event(
                            EventName.RUN_MISSING,
                            EventKey.RUN,
                            run.identity(),
                            EventKey.PHASE,
                            run.phase(),
                            EventKey.FENCE,
                            order.fence());
            book.end(run, RunOutcome.LAPSED, "not-listed", 0, loop.monotonicMilliseconds());
            handler.ended(run);
        }
    }
}
