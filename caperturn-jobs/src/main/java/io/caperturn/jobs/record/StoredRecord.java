package io.caperturn.jobs.record;

/**
 * Record as read from the store.
 *
 * @param key its key
 * @param value its bytes, which must not be modified; empty if the record was removed
 * @param version version of its last change, from a counter common to the whole store
 * @param removed whether the record was removed; true only in the results of {@link RecordStore#follow}
 */
public record StoredRecord(RecordKey key, byte[] value, long version, boolean removed) {}
