package io.caperturn.jobs.upstream;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sidecar of one upstream: takes runs from entries, has them kept at the upstream, and reports to their owners.
 *
 * <p>An owner's authority is a lease: it counts from the moment at which this sidecar asked for it, so it always ends
 * here before the owner, or whoever adopts its jobs, takes it for ended.
 */
public final class SidecarController {
    /** Interval of the look at leases, in milliseconds: a tenth of the shortest authority. */
    private static final long TICK_MILLISECONDS = 100;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final SidecarTimings settings;
    private final RunBook book = new RunBook();
    private final UpstreamKeeper keeper;
    private final Map<String, OwnerLease> owners = new HashMap<>();
    private final UnclaimedRuns unclaimed;
    private final Set<String> fenced = new HashSet<>();
    private final EntryNews news;

    /**
     * Creates a sidecar that knows nothing yet.
     *
     * @param loop the loop on which all calls come
     * @param upstream port to the upstream
     * @param links port to the entries
     * @param settings times to keep to
     */
    public SidecarController(DecisionLoop loop, UpstreamPort upstream, LinkPort links, SidecarTimings settings) {
        this.loop = loop;
        this.links = links;
        this.settings = settings;
        this.unclaimed = new UnclaimedRuns(loop, links, book, owners);
        this.keeper = new UpstreamKeeper(upstream, loop, settings, book, new Reporter());
        this.news = new EntryNews(loop, links, settings, book, keeper, owners);
    }

    /** Begins to look after leases. */
    public void start() {
        loop.after(TICK_MILLISECONDS, this::tick);
    }

    /**
     * Takes a fencing base: a number that the store gave to no other life of this sidecar.
     *
     * @param registration the number
     */
    public void setRegistration(long registration) {
        keeper.registered(registration);
    }

    /**
     * Takes what an earlier life of this sidecar knew of its upstream.
     *
     * @param earlier the description; it is used if that life of the upstream still lasts
     */
    public void restoreUpstream(UpstreamIncarnation earlier) {
        keeper.state().remember(earlier);
    }

    /**
     * Gives what is known of the upstream.
     *
     * @return the description, or nothing while there is none
     */
    public Optional<UpstreamIncarnation> upstream() {
        return Optional.ofNullable(keeper.state().announcement()).map(UpstreamAnnouncement::description);
    }

    /**
     * Takes what the upstream says of itself.
     *
     * @param news the announcement
     */
    public void handleAnnouncement(UpstreamAnnouncement news) {
        keeper.announced(news);
    }

    /**
     * Takes the upstream's last word.
     *
     * @param identity its name
     */
    public void handleDeparture(String identity) {
        keeper.departed(identity);
    }

    /** Takes nothing new from now on, gives waiting runs back, and lets running ones end. */
    public void leave() {
        keeper.leave();
    }

    /**
     * Tells whether anything runs, or has ended without its owner's word.
     *
     * @return true if this process can end without loss
     */
    public boolean isIdle() {
        return book.holdingCount() == 0 && book.acknowledgeable() == book.acknowledged();
    }

    /**
     * Takes an opened link to an entry.
     *
     * @param incarnation the entry
     */
    public void handleLinkOpened(String incarnation) {
        owners.computeIfAbsent(incarnation, key -> new OwnerLease(key, settings))
                .reset(loop.monotonicMilliseconds());
        news.sendInventory(owners.get(incarnation), "");
        news.send(owners.get(incarnation));
    }

    /**
     * Takes the loss of a link; the entry's authority runs on until its time is over.
     *
     * @param incarnation the entry
     */
    public void handleLinkClosed(String incarnation) {
        OwnerLease owner = owners.get(incarnation);
        if (owner != null) {
            owner.unlinked();
        }
    }

    /**
     * Takes a frame from an entry.
     *
     * @param incarnation the entry
     * @param frame the frame
     */
    public void handleFrame(String incarnation, JobFrame frame) {
        OwnerLease owner = owners.get(incarnation);
        if (owner == null) {
            return;
        }
        switch (frame) {
            case JobFrame.Lease lease -> {
                if (owner.renewed(lease)) {
                    keeper.startNext();
                }
            }
            case JobFrame.Dispatch dispatch -> dispatched(owner, dispatch);
            case JobFrame.Withdraw withdraw -> withdrawn(incarnation, withdraw.run());
            case JobFrame.Settled settled -> settled(settled.run());
            case JobFrame.FenceOwner fence -> fence(incarnation, fence.incarnation());
            case JobFrame.JobOver over -> jobOver(over.job());
            default -> loop.log().event(EventName.FRAME_UNEXPECTED, EventKey.FROM, incarnation, EventKey.FRAME, frame);
        }
    }

    private void dispatched(OwnerLease owner, JobFrame.Dispatch dispatch) {
        owner.saw(dispatch.sequence());
        RunIdentity identity = dispatch.run();
        if (fenced.contains(owner.incarnation())) {
            loop.log().event(EventName.DISPATCH_FENCED, EventKey.RUN, identity, EventKey.OWNER, owner.incarnation());
            return;
        }
        long now = loop.monotonicMilliseconds();
        long startBy = now + dispatch.slackMilliseconds();
        LocalRun known = book.find(identity);
        if (known != null) {
            known.ownedBy(owner.incarnation(), now);
            known.durable(dispatch.durable());
            if (!known.isIn(Phase.ENDED)) {
                book.describe(known, dispatch, startBy);
            }
            report(known);
            return;
        }
        LocalRun run = new LocalRun(identity, now);
        run.ownedBy(owner.incarnation(), now);
        run.durable(dispatch.durable());
        run.describe(
                dispatch.payload(), dispatch.need(), dispatch.estimatedMilliseconds(), startBy, dispatch.urgency());
        String refusal = refusal(run);
        if (!refusal.isEmpty()) {
            loop.log()
                    .event(
                            EventName.DISPATCH_REFUSED,
                            EventKey.RUN,
                            identity,
                            EventKey.OWNER,
                            owner.incarnation(),
                            EventKey.REASON,
                            refusal);
            links.send(owner.incarnation(), new JobFrame.Report(identity, RunOutcome.REFUSED, 0, refusal));
            news.sendSoon();
            return;
        }
        book.enqueue(run);
        news.sendSoon();
        keeper.startNext();
    }

    private String refusal(LocalRun run) {
        if (!keeper.isUsable()) {
            return "upstream-unusable";
        }
        if (!keeper.state().capacity().covers(run.need())) {
            return "larger-than-upstream";
        }
        if (book.hasOtherRun(run.identity())) {
            return "other-run";
        }
        return news.freeRoom().covers(run.need()) ? "" : JobFrame.Report.NO_ROOM;
    }

    private void withdrawn(String incarnation, RunIdentity identity) {
        LocalRun run = book.find(identity);
        if (run == null) {
            links.send(incarnation, new JobFrame.Report(identity, RunOutcome.STOPPED, 0, "unknown"));
        } else {
            keeper.withdraw(run, "withdrawn");
        }
    }

    private void settled(RunIdentity identity) {
        LocalRun run = book.find(identity);
        if (run != null && run.isIn(Phase.ENDED)) {
            keeper.settled(run);
        }
    }

    private void fence(String adopter, String lost) {
        if (fenced.add(lost)) {
            loop.log().event(EventName.OWNER_FENCED, EventKey.OWNER, lost, EventKey.ADOPTER, adopter);
        }
        for (LocalRun run : List.copyOf(book.queue())) {
            if (run.owner().equals(lost)) {
                book.end(run, RunOutcome.REFUSED, "owner-lost", 0, loop.monotonicMilliseconds());
            }
        }
        for (LocalRun run : List.copyOf(book.all())) {
            if (run.owner().equals(lost)) {
                run.ownedBy("", loop.monotonicMilliseconds());
                if (!run.isDurable()) {
                    drop(run, "owner-lost");
                }
            }
        }
        news.sendInventory(owners.get(adopter), lost);
        news.sendSoon();
    }

    private void jobOver(String job) {
        for (LocalRun run : List.copyOf(book.all())) {
            if (run.identity().task().job().equals(job) && run.owner().isEmpty()) {
                drop(run, "job-over");
            }
        }
    }

    /** Ends a run that nobody will claim, and forgets its end. */
    private void drop(LocalRun run, String cause) {
        if (run.isIn(Phase.ENDED)) {
            keeper.settled(run);
        } else {
            keeper.withdraw(run, cause);
        }
    }

    private void tick() {
        loop.after(TICK_MILLISECONDS, this::tick);
        expireOwners();
        unclaimed.keepEnds();
        keeper.tick();
        unclaimed.ask();
        news.sendIfDue();
    }

    private void expireOwners() {
        long now = loop.monotonicMilliseconds();
        for (LocalRun run : List.copyOf(book.all())) {
            OwnerLease owner = owners.get(run.owner());
            if (owner == null || run.isIn(Phase.ENDED)) {
                continue;
            }
            if (now <= owner.authorityOver(run)) {
                continue;
            }
            if (run.isIn(Phase.QUEUED)) {
                loop.log()
                        .event(
                                EventName.RUN_DROPPED,
                                EventKey.RUN,
                                run.identity(),
                                EventKey.OWNER,
                                run.owner(),
                                EventKey.CAUSE,
                                "owner-silent");
                book.end(run, RunOutcome.REFUSED, "owner-silent", 0, now);
                report(run);
                news.sendSoon();
            } else if (run.holdsRoom() && !run.isStopWanted()) {
                keeper.withdraw(run, "owner-silent");
            }
        }
        owners.values()
                .removeIf(
                        owner -> !owner.isLinked() && now > owner.heardAt() + 2 * settings.runAuthorityMilliseconds());
    }

    private void report(LocalRun run) {
        if (!run.owner().isEmpty()) {
            links.send(
                    run.owner(), new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason()));
        }
    }

    private final class Reporter implements RunListener {
        @Override
        public void started(LocalRun run) {
            report(run);
        }

        @Override
        public void standsStill(LocalRun run) {
            links.send(run.owner(), new JobFrame.Report(run.identity(), RunOutcome.RUNNING, 0, JobFrame.Report.STANDS_STILL));
        }

        @Override
        public void ended(LocalRun run) {
            report(run);
        }

        @Override
        public void changed() {
            news.sendSoon();
        }

        @Override
        public void listed() {
            owners.values().stream().filter(owner -> owner.isLinked()).forEach(owner -> news.sendInventory(owner, ""));
        }

        @Override
        public void suspended() {
            owners.values().forEach(OwnerLease::distrust);
        }

        @Override
        public boolean mayStart(LocalRun run) {
            OwnerLease owner = owners.get(run.owner());
            return owner != null && owner.mayStart(run, loop.monotonicMilliseconds());
        }
    }
}
