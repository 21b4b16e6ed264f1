package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.List;

/**
 * Decision which jobs an entry (process that accepts jobs) cannot serve because of evacuated availability zones. It
 * answers a load that needs upstreams of such zones: these jobs are refused or given up at once, instead of at the end
 * of their callers' patience.
 */
final class EvacuationImpact {
    private final ZoneEvacuations evacuations;
    private final TaskDispatcher dispatcher;
    private final OwnedJobRepository jobs;
    private final ProcessMembership membership;
    private final LoadForecast forecast;

    EvacuationImpact(
            ZoneEvacuations evacuations,
            TaskDispatcher dispatcher,
            OwnedJobRepository jobs,
            ProcessMembership membership,
            LoadForecast forecast) {
        this.evacuations = evacuations;
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.membership = membership;
        this.forecast = forecast;
    }

    /**
     * Returns whether sidecars outside evacuated zones are likely to return soon, so that those known now tell nothing
     * about the others.
     */
    boolean isAwaitingOtherZones(String service) {
        return evacuations.isAnyEvacuated() && forecast.isAwaitingUpstreams(service);
    }

    /** Returns whether tasks of a step could run on an upstream whose zone is evacuated. */
    boolean fitsInEvacuatedZone(StepPlan step, String service) {
        return evacuations.isAnyEvacuated()
                && dispatcher.sidecars().stream()
                        .anyMatch(view -> view.isEvacuated() && UpstreamSelector.fits(step, service, view));
    }

    /** Returns whether all zones with recorded sidecars are evacuated, so that every job is refused for that reason. */
    boolean isEverySidecarEvacuated() {
        return evacuations.isAnyEvacuated()
                && dispatcher.sidecars().stream().anyMatch(view -> view.isLinked() && view.isEvacuated())
                && membership.membersWithRole(ProcessRole.SIDECAR).stream()
                        .allMatch(member -> evacuations.contains(member.zone()));
    }

    /** Abandons jobs that are not durable, have no task at a sidecar, and need an upstream of an evacuated zone. */
    void abandonJobs() {
        if (!evacuations.isAnyEvacuated()) {
            return;
        }
        for (OwnedJob job : List.copyOf(jobs.ownedJobs())) {
            boolean sent = job.tasks().stream().anyMatch(task -> task.isIn(OwnedTask.Phase.SENT));
            if (!job.plan().durable() && !sent && needsEvacuatedZone(job)) {
                jobs.abandon(job.identity(), ZoneStartGate.ZONE_EVACUATED);
            }
        }
    }

    private boolean needsEvacuatedZone(OwnedJob job) {
        String service = job.policy().service();
        return !isAwaitingOtherZones(service)
                && job.plan().steps().stream()
                        .anyMatch(step -> !UpstreamSelector.canEverRun(step, service, dispatcher.sidecars())
                                && fitsInEvacuatedZone(step, service));
    }
}
