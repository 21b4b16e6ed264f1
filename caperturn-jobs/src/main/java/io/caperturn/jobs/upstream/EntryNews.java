package io.caperturn.jobs.upstream;

import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What a sidecar tells its entries of itself: its room on each change, and all runs that it knows when asked. */
final class EntryNews {
    /** Delay within which changes are gathered into one status, in milliseconds: short against a task of 50 ms. */
    private static final long STATUS_DELAY_MILLISECONDS = 3;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final SidecarTimings settings;
    private final RunBook book;
    private final UpstreamKeeper keeper;
    private final Map<String, OwnerLease> owners;
    private boolean due;
    private long renewal;
    private long lastSent;

    EntryNews(
            DecisionLoop loop,
            LinkPort links,
            SidecarTimings settings,
            RunBook book,
            UpstreamKeeper keeper,
            Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.settings = settings;
        this.book = book;
        this.keeper = keeper;
        this.owners = owners;
    }

    /** Tells all entries within a few milliseconds; changes until then go into the same status. */
    void sendSoon() {
        if (!due) {
            due = true;
            loop.after(STATUS_DELAY_MILLISECONDS, this::sendAll);
        }
    }

    /** Tells all entries if they have not been told for the interval at which leases are renewed. */
    void sendIfDue() {
        if (loop.monotonicMilliseconds() - lastSent >= settings.renewalMilliseconds()) {
            sendAll();
        }
    }

    private void sendAll() {
        due = false;
        lastSent = loop.monotonicMilliseconds();
        owners.values().stream().filter(OwnerLease::isLinked).forEach(this::send);
    }

    /** Tells one entry the room that is left, and asks it to stand by its runs. */
    void send(OwnerLease owner) {
        renewal++;
        owner.asked(renewal, loop.monotonicMilliseconds());
        links.send(
                owner.incarnation(),
                new JobFrame.Status(
                        keeper.isUsable(),
                        keeper.state().service(),
                        keeper.state().capacity(),
                        freeRoom(),
                        book.waitingWork(),
                        book.holdingCount(),
                        keeper.state().labels(),
                        owner.dispatchesSeen(),
                        renewal));
    }

    /** Gives the room that neither running nor waiting runs need. */
    Resources freeRoom() {
        return keeper.state().capacity().minus(book.used()).minus(book.waitingNeed());
    }

    /** Tells one entry all runs that are known here; {@code lost} names an entry that is fenced, or is empty. */
    void sendInventory(OwnerLease asking, String lost) {
        List<JobFrame.Report> reports = new ArrayList<>();
        for (LocalRun run : book.all()) {
            reports.add(new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason()));
        }
        links.send(
                asking.incarnation(),
                new JobFrame.Inventory(lost, keeper.state().isListed(), asking.dispatchesSeen(), reports));
    }
}
