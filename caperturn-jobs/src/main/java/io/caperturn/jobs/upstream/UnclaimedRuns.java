package io.caperturn.jobs.upstream;

import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.Loop;
import io.caperturn.jobs.message.Frame;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs that no entry stands by: an entry is asked whether their jobs are over. */
final class UnclaimedRuns {
    /** Time after which runs that no entry claims are asked about, in milliseconds: an adoption takes less. */
    private static final long UNCLAIMED_MILLISECONDS = 600;

    private final Loop loop;
    private final LinkPort links;
    private final RunBook book;
    private final Map<String, OwnerLease> owners;
    private long lastUnclaimed;

    UnclaimedRuns(Loop loop, LinkPort links, RunBook book, Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.book = book;
        this.owners = owners;
    }

    /** Asks about them, at an interval. */
    void ask() {
        long now = loop.now();
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
            owners.values().stream()
                    .filter(owner -> owner.isLinked())
                    .findFirst()
                    .ifPresent(owner -> links.send(owner.incarnation(), new Frame.Unclaimed(List.copyOf(jobs))));
        }
    }
}
