package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Handler of runs whose owner (the entry process that dispatched them last) is silent or unknown: retains their
 * completions, and asks entries about their jobs.
 *
 * <p>The upstream discards completions in the order of their numbers, and lists a limited number of them. So each must
 * find, within bounded time, an owner that stores it or the proof that nobody needs it.
 */
final class UnclaimedRuns {
    /**
     * Time without an owner after which an entry is asked about a run, in milliseconds: longer than an entry takes to
     * adopt a lost owner's jobs.
     */
    private static final long UNCLAIMED_AGE_MILLISECONDS = 600;
    /**
     * Silence of an owner after which this process retains the completions of its runs in place of the upstream, in
     * milliseconds: twice the owner's lease on runs of jobs that are not stored. An upstream lists at most 500
     * completions and can produce 120 a second, so later ones would soon not be listed any more.
     */
    private static final long OWNER_SILENCE_MILLISECONDS =
            2 * SidecarTimings.OWNER_LEASE_ON_TRANSIENT_RUNS_MILLISECONDS;

    /**
     * Time after which an entry is asked about an end that its owner has not confirmed, in milliseconds: several times
     * as long as an owner takes to store it.
     */
    private static final long CONFIRMATION_MILLISECONDS = 3_000;
    /**
     * Time after which an end that is not confirmed no longer keeps the upstream from discarding later ones which are,
     * in milliseconds: longer than the loss of an owner and the recovery of its jobs take.
     */
    private static final long OVERTAKEN_MILLISECONDS = 10_000;

    /** Minimum time between two questions, in milliseconds. */
    private static final long QUESTION_INTERVAL_MILLISECONDS = UNCLAIMED_AGE_MILLISECONDS / 2;
    /** Maximum time between two questions about the same end, which doubles with each, in milliseconds. */
    private static final long MAXIMUM_QUESTION_PAUSE_MILLISECONDS = 5_000;

    private static final int MAXIMUM_DOUBLINGS = 8;
    /** Maximum number of ends in one question, each of which can cost the entry two reads of the store. */
    private static final int MAXIMUM_ENDS_IN_QUESTION = 20;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final RunRegistry registry;
    private final Map<String, OwnerLease> owners;
    private long lastQuestionAt;
    private int questionsSent;

    UnclaimedRuns(DecisionLoop loop, LinkPort links, RunRegistry registry, Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.registry = registry;
        this.owners = owners;
    }

    /**
     * Retains completions of silent owners' runs in this process, so that the upstream can list later ones. Completions
     * of stored jobs stay with the upstream, so that a restart of this process does not lose them.
     */
    void retainCompletionsLocally() {
        long silentSince = loop.monotonicMilliseconds() - OWNER_SILENCE_MILLISECONDS;
        for (LocalRun run : registry.allRuns()) {
            OwnerLease owner = owners.get(run.owner());
            boolean ownerSilent = owner == null || owner.confirmedAt() < silentSince;
            if (run.isInPhase(LocalRun.Phase.ENDED) && !run.isDurable() && ownerSilent && registry.retainLocally(run)) {
                loop.log().event(EventName.END_KEPT, EventKey.RUN, run.identity(), EventKey.OWNER, run.owner());
            }
        }
    }

    /**
     * Retains completions of stored jobs in this process which nobody has confirmed for long, although later ones of
     * the same upstream are stored: otherwise one job, whose record cannot be written for example, would keep the
     * upstream from listing the completions of all others.
     */
    void retainOvertakenCompletions() {
        long endedBefore = loop.monotonicMilliseconds() - OVERTAKEN_MILLISECONDS;
        for (LocalRun run : registry.allRuns()) {
            if (run.isInPhase(LocalRun.Phase.ENDED)
                    && run.finishedAt() <= endedBefore
                    && registry.completions().isOvertaken(run.completionNumber(), run.identity())
                    && registry.retainLocally(run)) {
                loop.log()
                        .event(
                                EventName.END_KEPT,
                                EventKey.RUN,
                                run.identity(),
                                EventKey.OWNER,
                                run.owner(),
                                EventKey.CAUSE,
                                "overtaken",
                                EventKey.AFTER,
                                loop.monotonicMilliseconds() - run.finishedAt());
                loop.log().count("end-kept-overtaken");
            }
        }
    }

    /**
     * Asks one of the linked entries, at an interval, about the jobs of active runs without an owner, and about ends
     * that have no owner or that their owner has not confirmed for long.
     */
    void askEntries() {
        long now = loop.monotonicMilliseconds();
        if (now - lastQuestionAt < QUESTION_INTERVAL_MILLISECONDS) {
            return;
        }
        lastQuestionAt = now;
        Set<String> jobs = new LinkedHashSet<>();
        List<LocalRun> ended = new ArrayList<>();
        for (LocalRun run : registry.allRuns()) {
            boolean unclaimed = run.owner().isEmpty() || !owners.containsKey(run.owner());
            long age = now - run.ownerChangedOrFinishedAt();
            if (unclaimed && age > UNCLAIMED_AGE_MILLISECONDS) {
                // Keeps the time of the last change, since which the run counts as unclaimed.
                run.setOwner(/* incarnation= */ "", run.ownerChangedOrFinishedAt());
                if (!run.isInPhase(LocalRun.Phase.ENDED)) {
                    jobs.add(run.identity().task().job());
                }
            }
            if (isEndQuestionDue(run, unclaimed, now)) {
                ended.add(run);
            }
        }
        ended.sort(Comparator.comparingInt(LocalRun::endQuestions).thenComparing(LocalRun::completionNumber));
        ask(jobs, ended.subList(0, Math.min(MAXIMUM_ENDS_IN_QUESTION, ended.size())));
    }

    private boolean isEndQuestionDue(LocalRun run, boolean unclaimed, long now) {
        long age = now - run.ownerChangedOrFinishedAt();
        boolean unconfirmed = run.isDurable()
                && registry.completions().isUnconfirmed(run.completionNumber(), run.identity())
                && age > CONFIRMATION_MILLISECONDS;
        return run.isInPhase(LocalRun.Phase.ENDED)
                && (unclaimed && age > UNCLAIMED_AGE_MILLISECONDS || unconfirmed)
                && now >= run.nextEndQuestionAt();
    }

    private void ask(Set<String> jobs, List<LocalRun> ended) {
        // Entries are asked in turn, because one of them may be unable to reach the store for a long time.
        List<OwnerLease> linked =
                owners.values().stream().filter(owner -> owner.isLinked()).toList();
        if (linked.isEmpty() || jobs.isEmpty() && ended.isEmpty()) {
            return;
        }
        long now = loop.monotonicMilliseconds();
        List<JobFrame.Report> ends = new ArrayList<>();
        long longestWait = 0;
        for (LocalRun run : ended) {
            run.recordEndQuestion(now
                    + Math.min(
                            MAXIMUM_QUESTION_PAUSE_MILLISECONDS,
                            QUESTION_INTERVAL_MILLISECONDS << Math.min(run.endQuestions(), MAXIMUM_DOUBLINGS)));
            jobs.add(run.identity().task().job());
            ends.add(new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason()));
            longestWait = Math.max(longestWait, now - run.finishedAt());
        }
        questionsSent++;
        String entry = linked.get(questionsSent % linked.size()).incarnation();
        loop.log()
                .event(
                        EventName.OWNER_ASKED,
                        EventKey.JOBS,
                        jobs.size(),
                        EventKey.OWNER,
                        entry,
                        EventKey.ENDED,
                        ends.size(),
                        EventKey.WAITED,
                        longestWait,
                        EventKey.UNCONFIRMED,
                        registry.completions().unconfirmedCount());
        links.send(entry, new JobFrame.Unclaimed(List.copyOf(jobs), ends, /* sidecar= */ ""));
    }
}
