package io.caperturn.store;

/**
 * The platform's transactional table service.
 *
 * <p>Calls block for at most the adapter's configured timeout and may come from any thread. Implementations never
 * retry: whether a repeat is safe is the caller's knowledge.
 */
public interface PlatformStore extends AutoCloseable {
    /**
     * Reads rows and, if every write's condition holds, applies all writes as one transaction.
     *
     * @param transaction the reads and conditional writes
     * @return what the store said, or that nothing is known
     */
    StoreResult transact(Transaction transaction);

    /**
     * Reads the rows of a table in the order of their keys.
     *
     * @param table the table's name
     * @param afterKey rows with greater keys are returned; empty for the first page
     * @param limit most rows returned, at least 1
     * @return {@link StoreResult.Committed} with the rows, or why there are none
     */
    StoreResult scan(String table, String afterKey, int limit);

    @Override
    void close();
}
