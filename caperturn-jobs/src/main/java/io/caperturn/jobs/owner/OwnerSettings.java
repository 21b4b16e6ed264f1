package io.caperturn.jobs.owner;

/**
 * What an entry is told of its surroundings.
 *
 * @param node name of its instance
 * @param incarnation identity of this life of the entry
 * @param address where it takes links, as {@code host:port}
 * @param keepMilliseconds how long the end of a job is remembered, in milliseconds
 */
public record OwnerSettings(String node, String incarnation, String address, long keepMilliseconds) {}
