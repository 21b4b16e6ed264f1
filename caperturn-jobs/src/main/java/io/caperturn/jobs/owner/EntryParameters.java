package io.caperturn.jobs.owner;

/**
 * Parameters of an entry, a process that accepts jobs from callers.
 *
 * @param node name of the instance on which the entry runs
 * @param incarnation identifier of this start of the entry, different for each start
 * @param address address at which the entry accepts connections of other processes, as {@code host:port}
 * @param finishedJobRetentionMilliseconds how long the final state of a finished job is kept in memory, in milliseconds
 */
public record EntryParameters(String node, String incarnation, String address, long finishedJobRetentionMilliseconds) {}
