package io.caperturn.jobs.model;

/**
 * Resources of an upstream, or those that a task needs.
 *
 * @param processorMillis processor capacity, in thousandths of a core; not a time
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns whether these resources are sufficient for the required ones.
     *
     * @param need the required resources
     * @return true if no component of the required resources exceeds that of these
     */
    public boolean covers(Resources need) {
        return processorMillis >= need.processorMillis
                && memoryMegabytes >= need.memoryMegabytes
                && accelerators >= need.accelerators;
    }

    /**
     * Returns the sum of these resources and others.
     *
     * @param other resources to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference of these resources and others.
     *
     * @param other resources to subtract
     * @return the difference, whose components may be negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }
}
