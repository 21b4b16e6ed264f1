package io.caperturn.jobs.record;

/**
 * Key of one stored record.
 *
 * @param table name of the table
 * @param part name of a part (partition) of the table; all records of a transaction must be in one part
 * @param name name within the part
 */
public record RecordKey(String table, String part, String name) {}
