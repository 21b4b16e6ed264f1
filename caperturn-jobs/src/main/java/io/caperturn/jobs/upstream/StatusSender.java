package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Sender of a sidecar's frames to entries: its status on each change, and an inventory of all known runs on request.
 */
final class StatusSender {
    /** Delay in milliseconds within which changes are combined into one status; short compared with a task of 50 ms. */
    private static final long STATUS_DELAY_MILLISECONDS = 3;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final UpstreamController upstreamController;
    private final Map<String, OwnerLease> owners;
    private boolean statusScheduled;
    private long lastRenewalNumber;
    private long lastSentAt;

    StatusSender(
            DecisionLoop loop,
            LinkPort links,
            SidecarTimings timings,
            RunRegistry registry,
            UpstreamController controller,
            Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.links = links;
        this.timings = timings;
        this.registry = registry;
        this.upstreamController = controller;
        this.owners = owners;
    }

    /** Schedules a status to all entries within a few milliseconds; later changes until then share the same status. */
    void scheduleStatus() {
        if (!statusScheduled) {
            statusScheduled = true;
            loop.after(STATUS_DELAY_MILLISECONDS, this::sendStatusToAll);
        }
    }

    /** Sends a status to all entries if the last one is older than the renewal interval of leases. */
    void sendStatusIfDue() {
        if (loop.monotonicMilliseconds() - lastSentAt >= timings.renewalMilliseconds()) {
            sendStatusToAll();
        }
    }

    private void sendStatusToAll() {
        statusScheduled = false;
        lastSentAt = loop.monotonicMilliseconds();
        owners.values().stream().filter(OwnerLease::isLinked).forEach(this::sendStatus);
    }

    /** Sends one entry the current status, which also asks it to renew its lease on its runs. */
    void sendStatus(OwnerLease owner) {
        lastRenewalNumber++;
        owner.recordRenewalRequest(lastRenewalNumber, loop.monotonicMilliseconds());
        links.send(
                owner.incarnation(),
                new JobFrame.Status(
                        upstreamController.isUsable(),
                        upstreamController.state().service(),
                        upstreamController.state().capacity(),
                        freeResources(),
                        registry.queuedWork(),
                        registry.activeCount(),
                        upstreamController.state().labels(),
                        owner.dispatchesSeen(),
                        lastRenewalNumber));
    }

    /** Returns the resources that neither active nor queued runs need; negative if they need more than the capacity. */
    Resources freeResources() {
        return upstreamController.state().capacity().minus(registry.used()).minus(registry.queuedNeed());
    }

    /**
     * Sends one entry all known runs; {@code fenced} is the incarnation of the entry fenced at its request, or empty.
     */
    void sendInventory(OwnerLease receiver, String fenced) {
        List<JobFrame.Report> reports = new ArrayList<>();
        for (LocalRun run : registry.all()) {
            reports.add(new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason()));
        }
        links.send(
                receiver.incarnation(),
                new JobFrame.Inventory(
                        fenced, upstreamController.state().isListed(), receiver.dispatchesSeen(), reports));
    }
}
