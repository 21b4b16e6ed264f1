package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Sender of a sidecar's frames to entries (processes that own jobs): its status, on each change and at an interval, and
 * inventories (lists) of all runs that the sidecar knows.
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
    private long lastRenewalRequestNumber;
    /** When a status was last sent to all entries, in milliseconds of the loop's clock. */
    private long lastStatusSentAt;

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

    /** Schedules a status to all entries in a few milliseconds, which also covers the changes until then. */
    void scheduleStatus() {
        if (!statusScheduled) {
            statusScheduled = true;
            loop.after(STATUS_DELAY_MILLISECONDS, this::sendStatusToAll);
        }
    }

    /** Sends a status to all entries if the status interval has passed since the last one. */
    void sendStatusIfDue() {
        if (loop.monotonicMilliseconds() - lastStatusSentAt >= timings.statusIntervalMilliseconds()) {
            sendStatusToAll();
        }
    }

    private void sendStatusToAll() {
        statusScheduled = false;
        lastStatusSentAt = loop.monotonicMilliseconds();
        owners.values().stream().filter(OwnerLease::isLinked).forEach(this::sendStatus);
    }

    /** Sends one entry the current status, which also asks the entry to renew the lease on its runs. */
    void sendStatus(OwnerLease owner) {
        lastRenewalRequestNumber++;
        owner.recordRenewalRequest(lastRenewalRequestNumber, loop.monotonicMilliseconds());
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
                        owner.highestDispatchSequence(),
                        lastRenewalRequestNumber));
    }

    /** Returns the resources that neither active nor queued runs need; negative if they need more than the capacity. */
    Resources freeResources() {
        return upstreamController
                .state()
                .capacity()
                .minus(registry.reservedResources())
                .minus(registry.queuedResources());
    }

    /**
     * Sends all known runs to one entry; {@code fencedEntry} is the incarnation of the lost entry that was fenced (from
     * which nothing more is accepted) at the receiver's request, or empty.
     */
    void sendInventory(OwnerLease receiver, String fencedEntry) {
        List<JobFrame.Report> reports = new ArrayList<>();
        for (LocalRun run : registry.allRuns()) {
            reports.add(new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason()));
        }
        links.send(
                receiver.incarnation(),
                new JobFrame.Inventory(
                        fencedEntry,
                        /* complete= */ upstreamController.state().isListedUnderCurrentToken(),
                        receiver.highestDispatchSequence(),
                        reports));
    }
}
