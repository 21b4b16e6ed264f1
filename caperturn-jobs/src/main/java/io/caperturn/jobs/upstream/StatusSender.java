package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sender of a sidecar's frames to entries (processes that own jobs): its status, on changes and at an interval, and
 * inventories (lists) of all runs that the sidecar knows.
 *
 * <p>Only the entries that {@link PromptRecipients} selects are sent each change of the free resources. The others
 * learn of it from the next periodic status, and the owner of a run that ends from the report on that run. A change
 * that decides whether tasks can be sent here at all goes to all entries.
 */
final class StatusSender {
    /**
     * Delay in milliseconds within which changes are combined into one status; short compared with a task of 50 ms. The
     * owner of a run that has ended can use its resources before.
     */
    private static final long STATUS_DELAY_MILLISECONDS = 10;
    /**
     * Delay in milliseconds of a status after a dispatch. Its sender has already counted it; other entries that have
     * not heard of it may send a task that is refused, which costs that task a few milliseconds.
     */
    private static final long DISPATCH_STATUS_DELAY_MILLISECONDS = 20;
    /**
     * Divisor of the interval of renewal requests: a status that is sent anyway when at most the quotient is left of
     * the interval also requests a renewal, which saves the next request. Each request costs an answer.
     */
    private static final long EARLY_RENEWAL_DIVISOR = 3;

    /** Divisor of the interval of renewal requests to an owner of runs that has not answered the last one. */
    private static final long UNANSWERED_RENEWAL_DIVISOR = 3;

    private static final long NEVER = Long.MAX_VALUE;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final UpstreamController upstreamController;
    private final Map<String, OwnerLease> owners;
    private final PromptRecipients promptRecipients;
    private final ZoneStartGate zoneGate;
    /** When the next status is due after a change, in milliseconds of the loop's clock. */
    private long statusDueAt = NEVER;

    private long lastRenewalRequestNumber;
    /** Last status that was sent after a change; null before the first. */
    private JobFrame.Status lastStatus;

    StatusSender(
            DecisionLoop loop,
            LinkPort links,
            SidecarTimings timings,
            RunRegistry registry,
            UpstreamController controller,
            Map<String, OwnerLease> owners,
            PromptRecipients promptRecipients,
            ZoneStartGate zoneGate) {
        this.loop = loop;
        this.links = links;
        this.timings = timings;
        this.registry = registry;
        this.upstreamController = controller;
        this.owners = owners;
        this.promptRecipients = promptRecipients;
        this.zoneGate = zoneGate;
    }

    /** Schedules a status after a change in a few milliseconds, which also covers the changes until then. */
    void scheduleStatus() {
        scheduleStatus(STATUS_DELAY_MILLISECONDS);
    }

    /** Schedules a status after a dispatch, by which free resources only decrease. */
    void scheduleStatusAfterDispatch() {
        scheduleStatus(DISPATCH_STATUS_DELAY_MILLISECONDS);
    }

    private void scheduleStatus(long delayMilliseconds) {
        long dueAt = loop.monotonicMilliseconds() + delayMilliseconds;
        if (dueAt < statusDueAt) {
            statusDueAt = dueAt;
            loop.after(delayMilliseconds, this::sendScheduledStatus);
        }
    }

    private void sendScheduledStatus() {
        if (loop.monotonicMilliseconds() < statusDueAt) {
            return; // sent by an earlier timer
        }
        statusDueAt = NEVER;
        JobFrame.Status current = status(/* dispatchesSeen= */ 0, JobFrame.Status.NO_RENEWAL);
        JobFrame.Status previous = lastStatus;
        lastStatus = current;
        Set<String> ownersOfRuns = ownersOfRuns();
        if (previous == null || !acceptsSameTasks(current, previous)) {
            logOffer(current);
            owners.values().stream().filter(OwnerLease::isLinked).forEach(owner -> sendStatus(owner, ownersOfRuns));
        } else {
            promptRecipients
                    .select(owners.values())
                    .forEach(owner -> sendStatusUnlessKnown(owner, current, ownersOfRuns));
        }
    }

    private void logOffer(JobFrame.Status current) {
        UpstreamState state = upstreamController.state();
        loop.log()
                .event(
                        EventName.UPSTREAM_OFFERED,
                        EventKey.IDENTITY,
                        state.identity(),
                        EventKey.BORN,
                        state.startEpochMilliseconds(),
                        EventKey.DESCRIBED,
                        state.description()
                                .map(UpstreamIncarnation::startEpochMilliseconds)
                                .orElse(0L),
                        EventKey.USABLE,
                        current.usable(),
                        EventKey.SERVICE,
                        current.service(),
                        EventKey.LABELS,
                        current.labels(),
                        EventKey.CAPACITY,
                        current.capacity().processorMillis());
    }

    private void sendStatusUnlessKnown(OwnerLease owner, JobFrame.Status current, Set<String> ownersOfRuns) {
        if (owner.knowsRoom(current.free(), current.waitingWork())) {
            loop.log().count("status-known");
        } else {
            sendStatus(owner, ownersOfRuns);
        }
    }

    /** Returns whether the same tasks can be sent here by two statuses, but for the resources that are free. */
    private static boolean acceptsSameTasks(JobFrame.Status first, JobFrame.Status second) {
        return first.usable() == second.usable()
                && first.service().equals(second.service())
                && first.capacity().equals(second.capacity())
                && first.labels().equals(second.labels())
                && first.coldMilliseconds() > 0 == second.coldMilliseconds() > 0
                && first.upstreamNumber() == second.upstreamNumber()
                && first.awaitingDescription() == second.awaitingDescription();
    }

    /** Sends the periodic status, which requests a renewal of the lease, to the entries for which it is due. */
    void sendDueRenewalRequests() {
        long now = loop.monotonicMilliseconds();
        Set<String> ownersOfRuns = ownersOfRuns();
        for (OwnerLease owner : owners.values()) {
            if (owner.isLinked()
                    && now - owner.lastRenewalRequestedAt() >= renewalIntervalMilliseconds(owner, ownersOfRuns)) {
                requestRenewal(owner);
            }
        }
    }

    private Set<String> ownersOfRuns() {
        Set<String> ownersOfRuns = new HashSet<>();
        for (LocalRun run : registry.allRuns()) {
            if (!run.isInPhase(LocalRun.Phase.ENDED)) {
                ownersOfRuns.add(run.owner());
            }
        }
        return ownersOfRuns;
    }

    private long renewalIntervalMilliseconds(OwnerLease owner, Set<String> ownersOfRuns) {
        // A lease counts from the request that is answered, so a slow entry is asked more often.
        if (ownersOfRuns.contains(owner.incarnation()) && owner.isAnswerOutstanding()) {
            return timings.statusIntervalMilliseconds() / UNANSWERED_RENEWAL_DIVISOR;
        }
        return ownersOfRuns.contains(owner.incarnation())
                ? timings.statusIntervalMilliseconds()
                : SidecarTimings.IDLE_STATUS_INTERVAL_MILLISECONDS;
    }

    /** Sends one entry the current status, which requests a renewal of its lease if the last request is old. */
    void sendStatus(OwnerLease owner) {
        sendStatus(owner, ownersOfRuns());
    }

    private void sendStatus(OwnerLease owner, Set<String> ownersOfRuns) {
        long interval = renewalIntervalMilliseconds(owner, ownersOfRuns);
        long age = loop.monotonicMilliseconds() - owner.lastRenewalRequestedAt();
        if (age >= interval - interval / EARLY_RENEWAL_DIVISOR) {
            requestRenewal(owner);
        } else {
            send(owner, JobFrame.Status.NO_RENEWAL);
        }
    }

    /** Sends one entry the current status, which requests a renewal of the lease on its runs. */
    void requestRenewal(OwnerLease owner) {
        lastRenewalRequestNumber++;
        owner.recordRenewalRequest(lastRenewalRequestNumber, loop.monotonicMilliseconds());
        send(owner, lastRenewalRequestNumber);
    }

    private void send(OwnerLease owner, long renewal) {
        JobFrame.Status status = status(owner.highestDispatchSequence(), renewal);
        owner.recordRoomTold(status.free(), status.waitingWork());
        loop.log().count("status-sent");
        links.send(owner.incarnation(), status);
    }

    /**
     * Returns the present room for a report to an entry, which need not be told of it again. Empty if its build does
     * not read it, and in a refusal for another reason than the lack of room, after which the room as the entry counts
     * it would attract the same task again; the next status after a refusal without room is sent in any case.
     */
    Optional<JobFrame.Room> tellRoom(OwnerLease owner, RunOutcome outcome, String reason) {
        boolean refused = outcome == RunOutcome.REFUSED;
        if (!owner.readsRoom() || refused && !reason.equals(JobFrame.Report.NO_ROOM)) {
            if (refused) {
                owner.forgetRoomTold();
            }
            return Optional.empty();
        }
        JobFrame.Room room = new JobFrame.Room(freeResources(), registry.queuedWork(), owner.highestDispatchSequence());
        owner.recordRoomTold(room.free(), room.waitingWork());
        return Optional.of(room);
    }

    private JobFrame.Status status(long dispatchesSeen, long renewal) {
        return new JobFrame.Status(
                upstreamController.isUsable() && zoneGate.isOpen(),
                upstreamController.state().service(),
                upstreamController.state().capacity(),
                freeResources(),
                registry.queuedWork(),
                registry.activeCount(),
                upstreamController.state().labels(),
                dispatchesSeen,
                renewal,
                upstreamController.state().coldMilliseconds(),
                upstreamController.recentCrashes(),
                upstreamController.state().incarnationNumber(),
                upstreamController.state().isAwaitingDescription());
    }

    /**
     * Returns the resources that neither active nor queued runs need; negative if they need more than the capacity, and
     * none while the needs of an active run are unknown.
     */
    Resources freeResources() {
        if (registry.hasRunOfUnknownNeed()) {
            return Resources.NONE;
        }
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
