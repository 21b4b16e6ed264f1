package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Handler of runs whose owner (the entry that dispatched them last) is silent or unknown: retains their completions,
 * and asks an entry whether their jobs have finished.
 */
final class UnclaimedRuns {
    /** Age at which an entry is asked about a run without an owner, in milliseconds: an adoption takes less. */
    private static final long UNCLAIMED_AGE_MILLISECONDS = 600;
    /**
     * Silence of an owner after which this process retains its completions in place of the upstream, in milliseconds:
     * twice the authority over runs of jobs that are not stored. An upstream lists at most 500 completions and can
     * produce 120 a second, so that later ones would soon no longer be listed.
     */
    private static final long OWNER_SILENCE_MILLISECONDS = 2 * SidecarTimings.TRANSIENT_AUTHORITY_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final RunRegistry registry;
    private final Map<String, OwnerLease> owners;
    private long lastAskedAt;
    private int questionsSent;

    UnclaimedRuns(DecisionLoop loop, LinkPort links, RunRegistry registry, Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.registry = registry;
        this.owners = owners;
    }

    /**
     * Retains completions of silent owners in this process, so that the upstream can list later ones. Completions of
     * stored jobs stay with the upstream, which outlives this process.
     */
    void retainCompletions() {
        long silentSince = loop.monotonicMilliseconds() - OWNER_SILENCE_MILLISECONDS;
        for (LocalRun run : registry.all()) {
            OwnerLease owner = owners.get(run.owner());
            boolean ownerSilent = owner == null || owner.confirmedAt() < silentSince;
            if (run.isIn(LocalRun.Phase.ENDED) && !run.isDurable() && ownerSilent && registry.retainLocally(run)) {
                loop.log().event(EventName.END_KEPT, EventKey.RUN, run.identity(), EventKey.OWNER, run.owner());
            }
        }
    }

    /** Asks one of the linked entries, at an interval, whether the jobs of runs without an owner have finished. */
    void askEntries() {
        long now = loop.monotonicMilliseconds();
        if (now - lastAskedAt < UNCLAIMED_AGE_MILLISECONDS / 2) {
            return;
        }
        lastAskedAt = now;
        Set<String> jobs = new LinkedHashSet<>();
        for (LocalRun run : registry.all()) {
            boolean unclaimed = run.owner().isEmpty() || !owners.containsKey(run.owner());
            if (unclaimed && now - run.changedAt() > UNCLAIMED_AGE_MILLISECONDS) {
                // Keeps the time of the last change, from which the age of the run is computed.
                run.setOwner("", run.changedAt());
                jobs.add(run.identity().task().job());
            }
        }
        if (!jobs.isEmpty()) {
            // Entries are asked in turn, because one of them may be unable to reach the store for a long time.
            List<OwnerLease> linked =
                    owners.values().stream().filter(owner -> owner.isLinked()).toList();
            if (!linked.isEmpty()) {
                questionsSent++;
                links.send(
                        linked.get(questionsSent % linked.size()).incarnation(),
                        new JobFrame.Unclaimed(List.copyOf(jobs)));
            }
        }
    }
}
