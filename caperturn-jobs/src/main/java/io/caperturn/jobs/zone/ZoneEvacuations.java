package io.caperturn.jobs.zone;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.HashMap;
import java.util.Map;

/**
 * Evacuated availability zones as last known to a process. They are unknown until the first update; afterwards the last
 * known set stands until the next update.
 */
public final class ZoneEvacuations {
    private static final String LEVEL_NAME = "evacuated-zones";

    private final DecisionLoop loop;
    private EvacuatedZones zones = EvacuatedZones.NONE;
    /** When this process learned of each evacuation, in milliseconds of the loop's clock. */
    private final Map<String, Long> learnedAtByZone = new HashMap<>();

    private boolean known;

    /**
     * Creates the state of a process that knows nothing yet.
     *
     * @param loop the loop on which all calls are made
     */
    public ZoneEvacuations(DecisionLoop loop) {
        this.loop = loop;
    }

    /**
     * Replaces the known set, and logs each zone that was added or removed.
     *
     * @param newZones the set
     */
    public void update(EvacuatedZones newZones) {
        EvacuatedZones before = zones;
        zones = newZones;
        known = true;
        newZones.versionByZone().forEach((zone, version) -> {
            if (!before.contains(zone)) {
                learnedAtByZone.put(zone, loop.monotonicMilliseconds());
                loop.log().event(EventName.ZONE_EVACUATED, EventKey.ZONE, zone, EventKey.VERSION, version);
            }
        });
        for (String zone : before.versionByZone().keySet()) {
            if (!newZones.contains(zone)) {
                long learnedAt = learnedAtByZone.remove(zone);
                loop.log()
                        .event(
                                EventName.ZONE_RESTORED,
                                EventKey.ZONE,
                                zone,
                                EventKey.AFTER,
                                loop.monotonicMilliseconds() - learnedAt);
            }
        }
        loop.log().level(LEVEL_NAME, newZones.versionByZone().size());
    }

    /**
     * Returns whether the set has ever been learned.
     *
     * @return false until the first update
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns whether a zone is known to be evacuated.
     *
     * @param zone name of the zone; empty if unknown
     * @return true if no task may be started there
     */
    public boolean contains(String zone) {
        return zones.contains(zone);
    }

    /**
     * Returns whether any zone is known to be evacuated.
     *
     * @return true if the known set is not empty
     */
    public boolean isAnyEvacuated() {
        return !zones.versionByZone().isEmpty();
    }
}
