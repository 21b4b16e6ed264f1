package io.caperturn.jobs.owner;

/**
 * Parameters of an entry.
 *
 * @param node name of the instance
 * @param incarnation unique name of this start of the entry
 * @param address address at which the entry accepts links, as {@code host:port}
 * @param closedRetentionMilliseconds how long the final state of a job is kept in memory, in milliseconds
 */
public record EntryParameters(String node, String incarnation, String address, long closedRetentionMilliseconds) {}
