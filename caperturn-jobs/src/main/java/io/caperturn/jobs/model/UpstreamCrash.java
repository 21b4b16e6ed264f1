package io.caperturn.jobs.model;

import java.util.Map;

/**
 * Crash of an upstream with active runs, as its sidecar process tells it for some seconds.
 *
 * @param number number of the crash, increasing within an incarnation of the sidecar
 * @param ageMilliseconds time since the crash, in milliseconds
 * @param startChancePermille by name of the queue of an active run, the chance that a run of the queue starts on the
 *     upstream as shortly before any moment as one had before the crash, in thousandths
 */
public record UpstreamCrash(long number, long ageMilliseconds, Map<String, Integer> startChancePermille) {
    /** Copies the map. */
    public UpstreamCrash {
        startChancePermille = Map.copyOf(startChancePermille);
    }
}
