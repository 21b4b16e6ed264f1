package io.caperturn.jobs.owner;

/**
 * What an entry is told of its surroundings.
 *
 * @param node name of its instance
 * @param incarnation identity of this life of the entry
 * @param address where it takes links, as {@code host:port}
 * @param closedRetentionMilliseconds how long the end of a job is remembered, in milliseconds
 */
public record EntryParameters(String node, String incarnation, String address, long closedRetentionMilliseconds) {}
