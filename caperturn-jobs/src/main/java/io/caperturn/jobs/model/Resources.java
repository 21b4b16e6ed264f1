package io.caperturn.jobs.model;

/**
 * Room on an upstream, or the part of it that a task needs.
 *
 * @param processorMillis processor, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, long accelerators) {
    /** No room at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Tells whether a need fits into this room.
     *
     * @param need what is needed
     * @return true if no part of the need exceeds this room
     */
    public boolean covers(Resources need) {
        return processorMillis >= need.processorMillis
                && memoryMegabytes >= need.memoryMegabytes
                && accelerators >= need.accelerators;
    }

    /**
     * Adds room.
     *
     * @param other what is added
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Takes room away.
     *
     * @param other what is taken
     * @return the difference, which may be negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }
}
