package io.caperturn.jobs.record;

import java.util.List;
import java.util.Map;

/**
 * Atomic transaction: changes that are applied together, provided that all checks hold.
 *
 * @param checks required versions of records; 0 for a record that must not exist
 * @param puts records to write
 * @param removes records to remove
 */
public record RecordTransaction(Map<RecordKey, Long> checks, Map<RecordKey, byte[]> puts, List<RecordKey> removes) {
    /** Copies the collections. */
    public RecordTransaction {
        checks = Map.copyOf(checks);
        puts = Map.copyOf(puts);
        removes = List.copyOf(removes);
    }
}
