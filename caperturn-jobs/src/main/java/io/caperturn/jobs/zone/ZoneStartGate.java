package io.caperturn.jobs.zone;

import java.util.Optional;

/** Decision of a sidecar whether it may start tasks in its availability zone. */
public final class ZoneStartGate {
    /** Reason of a refusal: the zone is evacuated. */
    public static final String ZONE_EVACUATED = "zone-evacuated";
    /** Reason of a refusal: it is unknown which zones are evacuated. */
    public static final String EVACUATIONS_UNKNOWN = "evacuations-unknown";

    private final ZoneEvacuations evacuations;
    private final String zone;

    /**
     * Creates the gate of one sidecar.
     *
     * @param evacuations the evacuated zones as known to the sidecar's process
     * @param zone zone of the sidecar; empty if unknown, so that no evacuation applies
     */
    public ZoneStartGate(ZoneEvacuations evacuations, String zone) {
        this.evacuations = evacuations;
        this.zone = zone;
    }

    /**
     * Returns whether tasks may be started now.
     *
     * @return true if the evacuated zones are known and this one is not among them
     */
    public boolean isOpen() {
        return evacuations.isKnown() && !evacuations.contains(zone);
    }

    /**
     * Returns why no task may be started now.
     *
     * @return the reason; empty if tasks may be started
     */
    public Optional<String> refusalReason() {
        if (isOpen()) {
            return Optional.empty();
        }
        return Optional.of(evacuations.isKnown() ? ZONE_EVACUATED : EVACUATIONS_UNKNOWN);
    }
}
