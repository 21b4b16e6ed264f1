package io.caperturn.jobs.zone;

import java.util.HashMap;
import java.util.Map;

/**
 * Set of the availability zones that are evacuated: in which no task may be started.
 *
 * @param versionByZone version of the stored request, by name of the zone
 */
public record EvacuatedZones(Map<String, Long> versionByZone) {
    /** No zone is evacuated. */
    public static final EvacuatedZones NONE = new EvacuatedZones(Map.of());

    /** Copies the map. */
    public EvacuatedZones {
        versionByZone = Map.copyOf(versionByZone);
    }

    /**
     * Returns whether a zone is evacuated.
     *
     * @param zone name of the zone
     * @return true if no task may be started there
     */
    public boolean contains(String zone) {
        return versionByZone.containsKey(zone);
    }

    /**
     * Returns this set with a zone added, or with a newer version of its request.
     *
     * @param zone name of the zone
     * @param version version of the stored request
     * @return the set
     */
    public EvacuatedZones with(String zone, long version) {
        Map<String, Long> changed = new HashMap<>(versionByZone);
        changed.merge(zone, version, Math::max);
        return new EvacuatedZones(changed);
    }

    /**
     * Returns this set without a zone.
     *
     * @param zone name of the zone
     * @return the set
     */
    public EvacuatedZones without(String zone) {
        Map<String, Long> changed = new HashMap<>(versionByZone);
        changed.remove(zone);
        return new EvacuatedZones(changed);
    }
}
