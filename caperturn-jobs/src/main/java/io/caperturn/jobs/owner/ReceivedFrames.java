package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import java.util.function.Consumer;

/**
 * Distributor of the frames that an entry (process that accepts jobs) receives from other entries and from sidecars,
 * the processes beside upstreams.
 */
final class ReceivedFrames {
    private final DecisionLoop loop;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final TaskDispatcher dispatcher;
    private final OrphanedJobAdopter jobAdopter;
    private final JobCancellation cancellation;
    private final WaitingJobCounts waitingJobCounts;
    private final Consumer<String> fenceListener;

    /**
     * Creates a distributor.
     *
     * @param fenceListener receives the incarnation of a sidecar that accepts nothing more from this entry
     */
    ReceivedFrames(
            DecisionLoop loop,
            EntryParameters parameters,
            ProcessMembership membership,
            TaskDispatcher dispatcher,
            OrphanedJobAdopter jobAdopter,
            JobCancellation cancellation,
            WaitingJobCounts waitingJobCounts,
            Consumer<String> fenceListener) {
        this.loop = loop;
        this.parameters = parameters;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.jobAdopter = jobAdopter;
        this.cancellation = cancellation;
        this.waitingJobCounts = waitingJobCounts;
        this.fenceListener = fenceListener;
    }

    /** Handles a frame of an incarnation (start) of another process. */
    void handle(String incarnation, JobFrame frame) {
        switch (frame) {
            case JobFrame.Status status ->
                dispatcher.handleStatus(incarnation, status, membership.hasConfirmedMembership());
            case JobFrame.Report report -> dispatcher.handleReport(incarnation, report);
            case JobFrame.Inventory inventory -> {
                jobAdopter.handleInventory(incarnation, inventory);
                if (inventory.fenced().isEmpty()) { // not sent for the recovery of a lost entry
                    dispatcher.handleInventory(incarnation, inventory);
                }
            }
            case JobFrame.Unclaimed unclaimed -> jobAdopter.unclaimedRuns().handle(incarnation, unclaimed);
            case JobFrame.EntryState state -> waitingJobCounts.updatePeer(incarnation, state.waitingJobs());
            case JobFrame.Slowdowns slowdowns -> dispatcher.handleSlowdowns(incarnation, slowdowns);
            case JobFrame.CancelJob cancel -> cancellation.cancelForPeer(cancel.job());
            case JobFrame.FenceOwner fence
            when fence.incarnation().equals(parameters.incarnation()) -> fenceListener.accept(incarnation);
            default -> loop.log().event(EventName.FRAME_UNEXPECTED, EventKey.FROM, incarnation, EventKey.FRAME, frame);
        }
    }
}
