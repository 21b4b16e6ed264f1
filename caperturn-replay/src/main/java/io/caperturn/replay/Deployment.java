package io.caperturn.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Machines and delays that a trace is replayed with.
 *
 * @param name the deployment's name
 * @param availabilityZones how many availability zones there are
 * @param withinZoneMilliseconds one-way delay within an availability zone
 * @param betweenZonesMilliseconds one-way delay between two availability zones
 * @param clientMilliseconds one-way delay between client and entry
 * @param claimMilliseconds time of a durable claim
 * @param entries how many entries there are
 * @param upstreams the upstreams
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
    /** The National Metals Lab. */
    public static final Deployment METALS_LAB = new Deployment("metals-lab", 4, 0.1, 0.5, 1, 5, 3, Upstreams.OF_TODAY);

    /** Kalahari Stonebyte Systems. */
    public static final Deployment KALAHARI = new Deployment("kalahari", 3, 0.1, 1, 3, 5, 3, Upstreams.OF_TODAY);

    /** Checks the ranges. */
    public Deployment {
        if (availabilityZones < 1 || entries < 1) {
            throw new IllegalArgumentException("there is at least one availability zone and one entry");
        }
    }

    /**
     * Finds a deployment.
     *
     * @param name its name
     * @return the deployment, or empty if none has the name
     */
    public static Optional<Deployment> find(String name) {
        return known().stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the deployments that have names.
     *
     * @return the deployments of both users
     */
    public static List<Deployment> known() {
        return Arrays.asList(METALS_LAB, KALAHARI);
    }

    /**
     * Returns the same deployment with another number of entries.
     *
     * @param number how many entries
     * @return the changed deployment
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
     * Returns the delay between an entry and an upstream, which are spread over the availability zones in turn.
     *
     * @param entry the entry's number, from 0
     * @param upstream the upstream's number, from 0
     * @return the one-way delay in milliseconds
     */
    public double delayMilliseconds(int entry, int upstream) {
        boolean same = entry % availabilityZones == upstream % availabilityZones;
        return same ? withinZoneMilliseconds : betweenZonesMilliseconds;
    }

    /**
     * The upstreams of a deployment.
     *
     * @param number how many there are
     * @param slots slots of each
     * @param connections connections of each
     */
    public record Upstreams(int number, int slots, int connections) {
        /** The executors of both users' services. */
        public static final Upstreams OF_TODAY = new Upstreams(11, 8, 64);

        /** Checks the ranges. */
        public Upstreams {
            if (number < 1 || slots < 1 || connections < 1) {
                throw new IllegalArgumentException("numbers must be at least 1");
            }
        }

        /**
         * Returns the slots of all.
         *
         * @return the number of slots
         */
        public int totalSlots() {
            return number * slots;
        }
    }
}
