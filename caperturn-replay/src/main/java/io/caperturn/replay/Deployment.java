package io.caperturn.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Deployment that the replay of a trace simulates: its entry processes and upstreams, and the network delays between
 * them.
 *
 * <p>An entry accepts submissions of clients; an upstream runs their tasks and has a sidecar beside it, which receives
 * the tasks from the entries.
 *
 * @param name the name of the deployment
 * @param availabilityZones the number of availability zones
 * @param withinZoneMilliseconds the one-way delay within an availability zone
 * @param betweenZonesMilliseconds the one-way delay between two availability zones
 * @param clientMilliseconds the one-way delay between client and entry
 * @param claimMilliseconds the time that it takes to store a claim, the durable record of the entry that owns a
 *     submission
 * @param entries the number of entries
 * @param upstreams the number and size of the upstreams
 */
public record Deployment(
        String name,
        int availabilityZones,
        double withinZoneMilliseconds,
        double betweenZonesMilliseconds,
        double clientMilliseconds,
        double claimMilliseconds,
        int entries,
        Upstreams upstreams) {
    /** Deployment of the National Metals Lab. */
    public static final Deployment METALS_LAB = new Deployment("metals-lab", 4, 0.1, 0.5, 1, 5, 3, Upstreams.DEFAULT);

    /** Deployment of Kalahari Stonebyte Systems. */
    public static final Deployment KALAHARI = new Deployment("kalahari", 3, 0.1, 1, 3, 5, 3, Upstreams.DEFAULT);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if there is no availability zone or no entry
     */
    public Deployment {
        if (availabilityZones < 1 || entries < 1) {
            throw new IllegalArgumentException("deployment needs at least one availability zone and one entry");
        }
    }

    /**
     * Finds a deployment by its name.
     *
     * @param name the name
     * @return the deployment, or empty if none has the name
     */
    public static Optional<Deployment> find(String name) {
        return all().stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the predefined deployments.
     *
     * @return one deployment for each organization that runs Caperturn
     */
    public static List<Deployment> all() {
        return Arrays.asList(METALS_LAB, KALAHARI);
    }

    /**
     * Returns a copy of this deployment with another number of entries.
     *
     * @param number the number of entries
     * @return the copy
     */
    public Deployment withEntries(int number) {
        return new Deployment(
                name,
                availabilityZones,
                withinZoneMilliseconds,
                betweenZonesMilliseconds,
                clientMilliseconds,
                claimMilliseconds,
                number,
                upstreams);
    }

    /**
     * Returns the delay between an entry and an upstream. Both are assigned to the availability zones round-robin.
     *
     * @param entry the entry's number, from 0
     * @param upstream the upstream's number, from 0
     * @return the one-way delay in milliseconds
     */
    public double delayMilliseconds(int entry, int upstream) {
        boolean inSameZone = entry % availabilityZones == upstream % availabilityZones;
        return inSameZone ? withinZoneMilliseconds : betweenZonesMilliseconds;
    }

    /**
     * Number and size of the upstreams of a deployment.
     *
     * @param number the number of upstreams
     * @param slots the number of slots (concurrent tasks) of each upstream
     * @param connections the maximum number of connections of each upstream
     */
    public record Upstreams(int number, int slots, int connections) {
        /** Upstreams of both predefined deployments. */
        public static final Upstreams DEFAULT = new Upstreams(11, 8, 64);

        /**
         * Checks the ranges.
         *
         * @throws IllegalArgumentException if a number is less than 1
         */
        public Upstreams {
            if (number < 1 || slots < 1 || connections < 1) {
                throw new IllegalArgumentException("number, slots and connections of the upstreams must be at least 1");
            }
        }

        /**
         * Returns the number of slots of all upstreams.
         *
         * @return the number of slots
         */
        public int totalSlots() {
            return number * slots;
        }
    }
}
