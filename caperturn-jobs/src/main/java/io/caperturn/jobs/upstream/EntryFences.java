package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Lost entries (processes that accept jobs) from which a sidecar accepts nothing more, because others own their jobs.
 *
 * <p>A lost entry that still has a link is told so: it gives up its jobs, and starts again as another incarnation, to
 * which the fence does not apply.
 */
final class EntryFences {
    /** Maximum number of entries that are remembered; the earliest are forgotten, which are long gone. */
    private static final int MAXIMUM_FENCES = 1_000;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final RunRegistry registry;
    private final FinishedRuns finishedRuns;
    private final RunLeases leases;
    /** Incarnations of the lost entries, in the order of their fences. */
    private final Set<String> fenced = new LinkedHashSet<>();

    EntryFences(DecisionLoop loop, LinkPort links, RunRegistry registry, FinishedRuns finishedRuns, RunLeases leases) {
        this.loop = loop;
        this.links = links;
        this.registry = registry;
        this.finishedRuns = finishedRuns;
        this.leases = leases;
    }

    /** Returns whether a dispatched run is refused because its sender is fenced; the sender is told so then. */
    boolean isRefused(String sender, RunIdentity run) {
        boolean refused = fenced.contains(sender);
        if (refused) {
            loop.log().event(EventName.DISPATCH_FENCED, EventKey.RUN, run, EventKey.OWNER, sender);
            notifyIfFenced(sender);
        }
        return refused;
    }

    /** Tells an incarnation of an entry, if it is fenced, that nothing more is accepted from it. */
    void notifyIfFenced(String incarnation) {
        if (fenced.contains(incarnation)) {
            links.send(incarnation, new JobFrame.FenceOwner(incarnation));
        }
    }

    /**
     * Accepts nothing more from a lost entry, and refuses its queued runs. Discards the lost entry's runs of jobs that
     * are not stored, because no entry adopts these jobs.
     *
     * @param adopter incarnation of the entry that adopts its jobs
     * @param lost incarnation of the lost entry
     */
    void fence(String adopter, String lost) {
        if (fenced.add(lost)) {
            loop.log().event(EventName.OWNER_FENCED, EventKey.OWNER, lost, EventKey.ADOPTER, adopter);
            if (fenced.size() > MAXIMUM_FENCES) {
                fenced.remove(fenced.iterator().next());
            }
            notifyIfFenced(lost);
        }
        for (LocalRun run : List.copyOf(registry.queuedRuns())) {
            if (run.owner().equals(lost)) {
                registry.finish(
                        run, RunOutcome.REFUSED, "owner-lost", /* completionNumber= */ 0, loop.monotonicMilliseconds());
            }
        }
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.owner().equals(lost)) {
                run.setOwner(/* incarnation= */ "", loop.monotonicMilliseconds());
                if (!run.isDurable()) {
                    finishedRuns.discard(run, "owner-lost");
                } else if (run.isActive()) {
                    leases.endClaimOfLostOwner(run);
                }
            }
        }
    }
}
