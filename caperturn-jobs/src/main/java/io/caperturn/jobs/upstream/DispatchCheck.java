package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.List;
import java.util.Optional;

/** Check of a sidecar whether it accepts a dispatched run, and whether runs that it has queued may still start. */
final class DispatchCheck {
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final OverJobs overJobs;
    private final UpstreamController upstreamController;
    private final StatusSender statusSender;
    private final ZoneStartGate zoneGate;

    DispatchCheck(
            DecisionLoop loop,
            RunRegistry registry,
            OverJobs overJobs,
            UpstreamController upstreamController,
            StatusSender statusSender,
            ZoneStartGate zoneGate) {
        this.loop = loop;
        this.registry = registry;
        this.overJobs = overJobs;
        this.upstreamController = upstreamController;
        this.statusSender = statusSender;
        this.zoneGate = zoneGate;
    }

    /**
     * Returns why a dispatched run is refused, and logs it; empty if the run is accepted.
     *
     * @param run the run
     * @param upstreamNumber number of the upstream's incarnation for which it was chosen; 0 if unknown
     */
    Optional<String> refuse(LocalRun run, long upstreamNumber) {
        Optional<String> refusal = findRefusal(run, upstreamNumber);
        refusal.ifPresent(reason -> log(run, reason));
        return refusal;
    }

    private Optional<String> findRefusal(LocalRun run, long upstreamNumber) {
        if (overJobs.contains(run)) {
            return Optional.of(JobFrame.Report.JOB_OVER);
        }
        Optional<String> zoneRefusal = zoneGate.refusalReason();
        if (zoneRefusal.isPresent()) {
            return zoneRefusal;
        }
        if (!upstreamController.isUsable()) {
            return Optional.of(JobFrame.Report.UPSTREAM_UNUSABLE);
        }
        if (upstreamNumber != 0 && upstreamNumber != upstreamController.state().incarnationNumber()) {
            return Optional.of(JobFrame.Report.UPSTREAM_REPLACED);
        }
        if (!upstreamController.state().capacity().covers(run.requiredResources())) {
            return Optional.of("larger-than-upstream");
        }
        if (registry.hasOtherRun(run.identity())) {
            return Optional.of("other-run");
        }
        // An exclusive run may wait here until the others have ended.
        boolean hasRoom = run.isExclusive()
                ? !registry.hasExclusiveRun()
                : statusSender.freeResources().covers(run.requiredResources());
        return hasRoom ? Optional.empty() : Optional.of(JobFrame.Report.NO_ROOM);
    }

    /**
     * Refuses all queued runs if no task may be started in the zone of this sidecar; such a run may also have been
     * queued again, after its start was refused.
     */
    List<LocalRun> refuseQueuedInEvacuatedZone() {
        if (zoneGate.isOpen() || registry.queuedRuns().isEmpty()) {
            return List.of();
        }
        List<LocalRun> queued = List.copyOf(registry.queuedRuns());
        String reason = zoneGate.refusalReason().orElseThrow();
        for (LocalRun run : queued) {
            log(run, reason);
            registry.finish(run, RunOutcome.REFUSED, reason, /* completionNumber= */ 0, loop.monotonicMilliseconds());
        }
        return queued;
    }

    private void log(LocalRun run, String reason) {
        loop.log()
                .event(
                        EventName.DISPATCH_REFUSED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.OWNER,
                        run.owner(),
                        EventKey.REASON,
                        reason);
        loop.log().count("dispatch-refused-" + reason);
    }
}
