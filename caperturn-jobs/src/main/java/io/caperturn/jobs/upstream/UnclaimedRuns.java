package io.caperturn.jobs.upstream;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs that no entry stands by: their ends are kept here, and an entry is asked whether their jobs are over. */
final class UnclaimedRuns {
    /** Time after which runs that no entry claims are asked about, in milliseconds: an adoption takes less. */
    private static final long UNCLAIMED_MILLISECONDS = 600;
    /**
     * Silence of an owner after which the upstream needs not keep its ends, in milliseconds: twice the authority over
     * runs whose caller waits. An upstream lists 500 ends, and the fastest seen has 120 a second.
     */
    private static final long KEEP_HERE_MILLISECONDS = 2 * SidecarTimings.TRANSIENT_AUTHORITY_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final RunBook book;
    private final Map<String, OwnerLease> owners;
    private long lastUnclaimed;
    private int asked;

    UnclaimedRuns(DecisionLoop loop, LinkPort links, RunBook book, Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.book = book;
        this.owners = owners;
    }

    /**
     * Keeps ends here whose owner has been silent, so that the upstream can list later ones. Ends of stored jobs stay
     * with the upstream, which outlives this process.
     */
    void keepEnds() {
        long silentSince = loop.monotonicMilliseconds() - KEEP_HERE_MILLISECONDS;
        for (LocalRun run : book.all()) {
            OwnerLease owner = owners.get(run.owner());
            boolean outOfTouch = owner == null || owner.heardAt() < silentSince;
            if (run.isIn(LocalRun.Phase.ENDED) && !run.isDurable() && outOfTouch && book.keepHere(run)) {
                loop.log().event(EventName.END_KEPT, EventKey.RUN, run.identity(), EventKey.OWNER, run.owner());
            }
        }
    }

    /** Asks about them, at an interval. */
    void ask() {
        long now = loop.monotonicMilliseconds();
        if (now - lastUnclaimed < UNCLAIMED_MILLISECONDS / 2) {
            return;
        }
        lastUnclaimed = now;
        Set<String> jobs = new LinkedHashSet<>();
        for (LocalRun run : book.all()) {
            boolean unclaimed = run.owner().isEmpty() || !owners.containsKey(run.owner());
            if (unclaimed && now - run.since() > UNCLAIMED_MILLISECONDS) {
                run.ownedBy("", run.since());
                jobs.add(run.identity().task().job());
            }
        }
        if (!jobs.isEmpty()) {
            // The next entry each time: one of them may be without the store for long.
            List<OwnerLease> linked =
                    owners.values().stream().filter(owner -> owner.isLinked()).toList();
            if (!linked.isEmpty()) {
                asked++;
                links.send(linked.get(asked % linked.size()).incarnation(), new JobFrame.Unclaimed(List.copyOf(jobs)));
            }
        }
    }
}
