package io.caperturn.testkit.upstream;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * Options of a stand-in upstream.
 *
 * @param name the name, unique in the system
 * @param kinds the kinds of work that the upstream serves
 * @param slots the maximum number of concurrent tasks
 * @param connections the maximum number of concurrent connections that carry tasks
 * @param location the machine that it runs on
 * @param speed the factor by which the run time of each task is divided
 * @param recordFile the file that the starts and ends of tasks are appended to; null for none
 */
public record UpstreamOptions(
        String name, List<String> kinds, int slots, int connections, Location location, double speed, Path recordFile) {
    /**
     * Machine that an upstream runs on.
     *
     * @param worker the machine's name
     * @param rack the worker's rack
     * @param availabilityZone the worker's availability zone
     */
    public record Location(String worker, String rack, String availabilityZone) {}

    /** Copies the kinds and checks the ranges. */
    public UpstreamOptions {
        Objects.requireNonNull(name, "name");
        kinds = List.copyOf(kinds);
        if (slots < 1 || connections < 1 || speed <= 0) {
            throw new IllegalArgumentException("slots, connections and speed must be positive");
        }
    }

    /**
     * Returns options with 8 slots and 64 connections, the sizes of current upstreams.
     *
     * @param name the name
     * @param kinds the kinds of work that the upstream serves
     * @param recordFile the file that the starts and ends of tasks are appended to; null for none
     * @return the options
     */
    public static UpstreamOptions ofDefaultSize(String name, List<String> kinds, Path recordFile) {
        return new UpstreamOptions(
                name, kinds, 8, 64, new Location("worker-" + name, "rack-1", "zone-1"), 1, recordFile);
    }
}
