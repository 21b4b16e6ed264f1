package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.RunOutcome;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Lost entries (processes that accept jobs) from which a sidecar accepts nothing more, because others own their jobs.
 */
final class EntryFences {
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final FinishedRuns finishedRuns;
    private final RunLeases leases;
    /** Incarnations of the lost entries. */
    private final Set<String> fenced = new HashSet<>();

    EntryFences(DecisionLoop loop, RunRegistry registry, FinishedRuns finishedRuns, RunLeases leases) {
        this.loop = loop;
        this.registry = registry;
        this.finishedRuns = finishedRuns;
        this.leases = leases;
    }

    /** Returns whether nothing more is accepted from an incarnation of an entry. */
    boolean contains(String incarnation) {
        return fenced.contains(incarnation);
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
