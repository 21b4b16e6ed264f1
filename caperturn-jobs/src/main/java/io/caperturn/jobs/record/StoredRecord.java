package io.caperturn.jobs.record;

/**
 * A stored record as it was read.
 *
 * @param key its key
 * @param value its bytes, not to be changed; empty if it was removed
 * @param version version of its last change, from one counter of the store
 * @param removed whether the record is gone; only changes that are followed tell this
 */
public record StoredRecord(RecordKey key, byte[] value, long version, boolean removed) {}
