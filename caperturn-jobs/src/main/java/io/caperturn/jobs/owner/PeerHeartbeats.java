package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;

/** Heartbeats of an entry (process that accepts jobs) to the other entries, which carry what waits at this one. */
final class PeerHeartbeats {
    /** Interval of heartbeats to other entries, in milliseconds: a sixth of the silence that counts as a loss. */
    private static final long INTERVAL_MILLISECONDS = 400;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final WaitingJobCounts waitingJobCounts;
    private long lastSentAt;

    PeerHeartbeats(
            DecisionLoop loop,
            LinkPort links,
            EntryParameters parameters,
            ProcessMembership membership,
            WaitingJobCounts waitingJobCounts) {
        this.loop = loop;
        this.links = links;
        this.parameters = parameters;
        this.membership = membership;
        this.waitingJobCounts = waitingJobCounts;
    }

    /** Sends the heartbeats if they are due. */
    void sendIfDue() {
        long now = loop.monotonicMilliseconds();
        if (now - lastSentAt < INTERVAL_MILLISECONDS) {
            return;
        }
        lastSentAt = now;
        JobFrame state = new JobFrame.EntryState(waitingJobCounts.countOwn());
        for (MemberRecord member : membership.membersWithRole(ProcessRole.ENTRY)) {
            if (!member.incarnation().equals(parameters.incarnation())) {
                links.send(member.incarnation(), state);
            }
        }
    }
}
