package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Directory of the sidecars (processes beside upstreams) that an entry (process that accepts jobs) knows, with their
 * links and statuses. It renews the entry's lease at a sidecar whose status requests that.
 */
final class SidecarDirectory {
    /** Time for which a sidecar without a link is kept after the last renewal of its lease, in milliseconds. */
    private static final long RETENTION_MILLISECONDS = 4 * RunLossDetector.RUN_EXPIRY_MILLISECONDS;

    /** Delay of a timer that is due after the present pass of the event loop, in milliseconds. */
    private static final long READING_MILLISECONDS = 1;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final ZoneEvacuations evacuations;
    private final Map<String, SidecarView> viewsByIncarnation = new HashMap<>();
    private final CrashEvidence evidence;
    private final QueueConfinement confinement;
    private long lastNewSidecarAt;

    SidecarDirectory(DecisionLoop loop, LinkPort links, ZoneEvacuations evacuations) {
        this.loop = loop;
        this.links = links;
        this.evacuations = evacuations;
        this.lastNewSidecarAt = loop.monotonicMilliseconds();
        this.evidence = new CrashEvidence(loop);
        this.confinement = new QueueConfinement(loop, this, evidence, new QueueDemand(loop));
    }

    Collection<SidecarView> views() {
        return viewsByIncarnation.values();
    }

    /** Returns the view of an incarnation (start) of a sidecar; empty if the sidecar is unknown. */
    Optional<SidecarView> find(String incarnation) {
        return Optional.ofNullable(viewsByIncarnation.get(incarnation));
    }

    /** Returns when the last new sidecar connected, or else the start of this entry, on the monotonic clock. */
    long lastNewSidecarAt() {
        return lastNewSidecarAt;
    }

    /** Handles a new link to a sidecar, which has identified itself by a frame. */
    void linkOpened(JobFrame.Hello hello) {
        SidecarView view = viewsByIncarnation.computeIfAbsent(hello.incarnation(), key -> {
            lastNewSidecarAt = loop.monotonicMilliseconds();
            return new SidecarView(hello, evacuations);
        });
        view.linkOpened();
    }

    void linkClosed(String incarnation) {
        find(incarnation).ifPresent(view -> view.setLinked(false));
    }

    /** Applies a status to a sidecar, and renews the lease there soon if it requests that. */
    void applyStatus(SidecarView view, JobFrame.Status status, boolean renewStoredRuns) {
        if (view.isOfAnotherUpstream(status)) {
            forgetHealth(view);
        }
        view.updateStatus(status, loop.monotonicMilliseconds());
        if (evidence.record(view.incarnation(), status.service(), status.crashes())) {
            confinement.refresh(/* newCrash= */ true);
        }
        if (status.renewal() != JobFrame.Status.NO_RENEWAL) {
            afterReading(() -> links.send(view.incarnation(), new JobFrame.Lease(status.renewal(), renewStoredRuns)));
        }
    }

    /** Forgets the outcomes of runs on an upstream whose place another incarnation has taken. */
    private void forgetHealth(SidecarView view) {
        if (view.health().isOnProbation()) {
            loop.log().event(EventName.EJECTION_DROPPED, EventKey.NODE, view.node());
        }
        view.setHealth(UpstreamHealth.UNKNOWN);
    }

    /**
     * Runs an action once all is read that had arrived before this event, also if this process was held up meanwhile: a
     * caller may have gone, whose runs have to be withdrawn before the lease on them is renewed. The first timer may be
     * due in the present pass of the event loop, the second one only after it has read from all connections again.
     */
    private void afterReading(Runnable action) {
        loop.after(0, () -> loop.after(READING_MILLISECONDS, action));
    }

    /** Orders a sidecar to stop a run, for a cause that is logged; the order is lost if the link to it is. */
    void withdraw(RunIdentity run, String incarnation, String cause) {
        Optional<SidecarView> view = find(incarnation);
        loop.log()
                .event(
                        EventName.WITHDRAWN,
                        EventKey.RUN,
                        run,
                        EventKey.NODE,
                        view.map(SidecarView::node).orElse(""),
                        EventKey.CAUSE,
                        cause,
                        EventKey.LINKED,
                        view.filter(SidecarView::isLinked).isPresent());
        links.send(incarnation, new JobFrame.Withdraw(run));
    }

    /** Forgets the sidecars without a link whose runs have stopped long ago. */
    void forgetLost(long now) {
        viewsByIncarnation.values().removeIf(view -> {
            boolean forgotten = !view.isLinked() && now - view.leaseSentAt() > RETENTION_MILLISECONDS;
            if (forgotten) {
                evidence.forgetSidecar(view.incarnation());
            }
            return forgotten;
        });
    }

    /** Returns the evidence from the crashes that sidecars tell. */
    CrashEvidence crashEvidence() {
        return evidence;
    }

    /** Returns the confinement of queues whose tasks crash upstreams. */
    QueueConfinement confinement() {
        return confinement;
    }

    void clear() {
        viewsByIncarnation.clear();
    }
}
