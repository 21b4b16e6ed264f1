package io.caperturn.testkit.upstream;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * What a stand-in upstream is.
 *
 * @param name its name, unique in the system
 * @param kinds the kinds of work that it serves
 * @param slots how many tasks may run at once
 * @param connections how many connections may bring tasks at once
 * @param place where it runs
 * @param speed how much faster than stated it runs tasks
 * @param record the file that its record is appended to; null for none
 */
public record UpstreamOptions(
        String name, List<String> kinds, int slots, int connections, Place place, double speed, Path record) {
    /**
     * Where an upstream runs.
     *
     * @param worker the worker
     * @param rack the worker's rack
     * @param availabilityZone the worker's availability zone
     */
    public record Place(String worker, String rack, String availabilityZone) {}

    /** Checks the ranges. */
    public UpstreamOptions {
        Objects.requireNonNull(name, "name");
        kinds = List.copyOf(kinds);
        if (slots < 1 || connections < 1 || speed <= 0) {
            throw new IllegalArgumentException("slots, connections and speed must be positive");
        }
    }

    /**
     * Creates an upstream with the sizes of today, 8 slots and 64 connections.
     *
     * @param name its name
     * @param kinds the kinds of work that it serves
     * @param record the file that its record is appended to; null for none
     * @return the options
     */
    public static UpstreamOptions of(String name, List<String> kinds, Path record) {
        return new UpstreamOptions(name, kinds, 8, 64, new Place("worker-" + name, "rack-1", "zone-1"), 1, record);
    }
}
