package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.RecentJobs;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import java.util.List;
import java.util.Optional;

/**
 * Notices of cancelled jobs to the entries (processes that accept jobs) that may own them and send their tasks to
 * sidecars, the processes beside upstreams.
 *
 * <p>A notice is lost only with the link over which it is sent, as one that a frozen entry has not read. So each notice
 * is kept for a while and sent again to an entry that opens a link. If the owner of a stored job is out of touch
 * meanwhile, or lost, the sidecars are told that the job is over.
 */
final class CancelNotices {
    /**
     * Time for which a notice is kept, in milliseconds: an entry that is out of touch for longer is declared lost, or
     * finds out by its next scan of the stored jobs.
     */
    private static final long RETENTION_MILLISECONDS = 15_000;
    /**
     * Time without a frame of the owner after which the sidecars are told, in milliseconds: two heartbeats and more.
     */
    private static final long OWNER_SILENCE_MILLISECONDS = 1_000;
    /** Maximum number of notices that are kept; the earliest are dropped. */
    private static final int MAXIMUM_NOTICES = 10_000;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final RecentJobs<Notice> notices;
    /** Notices of the stored jobs of which the sidecars were told, because their owner was out of touch. */
    private final RecentJobs<Notice> noticesToSidecars;

    CancelNotices(DecisionLoop loop, LinkPort links, EntryParameters parameters, ProcessMembership membership) {
        this.loop = loop;
        this.links = links;
        this.parameters = parameters;
        this.membership = membership;
        this.notices = new RecentJobs<>(loop, RETENTION_MILLISECONDS, MAXIMUM_NOTICES);
        this.noticesToSidecars = new RecentJobs<>(loop, RETENTION_MILLISECONDS, MAXIMUM_NOTICES);
    }

    /**
     * Notice of a cancelled job.
     *
     * @param owner incarnation of the entry that owns the job; empty if any entry may own it, because it is not stored
     * @param sentAt when the notice was sent first, in milliseconds of the loop's clock
     */
    private record Notice(Optional<String> owner, long sentAt) {
        boolean isFor(String incarnation) {
            return owner.map(incarnation::equals).orElse(true);
        }
    }

    /** Sends and keeps a notice of a job that is closed in the store, to its owner. */
    void notifyOwner(String job, String owner) {
        send(job, new Notice(Optional.of(owner), loop.monotonicMilliseconds()));
    }

    /** Sends and keeps a notice of a job that is not stored, to all other entries. */
    void notifyAll(String job) {
        send(job, new Notice(Optional.empty(), loop.monotonicMilliseconds()));
    }

    private void send(String job, Notice notice) {
        notices.put(job, notice);
        otherEntries().stream()
                .filter(notice::isFor)
                .forEach(incarnation -> links.send(incarnation, new JobFrame.CancelJob(job)));
    }

    /**
     * Sends the notices again to an entry that has opened a link, or tells a sidecar that has of what the others were.
     */
    void linkOpened(JobFrame.Hello peer) {
        if (peer.role() == ProcessRole.SIDECAR) {
            noticesToSidecars.forEach((job, notice) -> links.send(peer.incarnation(), new JobFrame.JobOver(job)));
            return;
        }
        notices.forEach((job, notice) -> {
            if (notice.isFor(peer.incarnation())) {
                links.send(peer.incarnation(), new JobFrame.CancelJob(job));
                log(EventName.CANCEL_REPEATED, job, peer.incarnation(), notice);
            }
        });
    }

    /** Tells all sidecars of the stored jobs whose owner is out of touch or lost. */
    void tick() {
        notices.forEach((job, notice) -> notice.owner()
                .filter(owner -> !membership.isInContact(owner, OWNER_SILENCE_MILLISECONDS))
                .filter(owner -> !noticesToSidecars.contains(job))
                .ifPresent(owner -> tellSidecars(job, owner, notice)));
    }

    private void tellSidecars(String job, String owner, Notice notice) {
        noticesToSidecars.put(job, notice);
        log(EventName.CANCEL_TOLD_SIDECARS, job, owner, notice);
        membership
                .membersWithRole(ProcessRole.SIDECAR)
                .forEach(sidecar -> links.send(sidecar.incarnation(), new JobFrame.JobOver(job)));
    }

    private void log(EventName event, String job, String owner, Notice notice) {
        loop.log()
                .event(
                        event,
                        EventKey.JOB,
                        job,
                        EventKey.OWNER,
                        owner,
                        EventKey.AFTER,
                        loop.monotonicMilliseconds() - notice.sentAt());
    }

    private List<String> otherEntries() {
        return membership.membersWithRole(ProcessRole.ENTRY).stream()
                .map(MemberRecord::incarnation)
                .filter(incarnation -> !incarnation.equals(parameters.incarnation()))
                .toList();
    }
}
