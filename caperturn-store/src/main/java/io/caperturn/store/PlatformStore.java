package io.caperturn.store;

/**
 * Client of the transactional table service of the platform that the processes run on.
 *
 * <p>Methods block for at most the time-out configured for the implementation and may be called from any thread.
 * Implementations never retry, because only the caller knows whether repeating a call is safe.
 */
public interface PlatformStore extends AutoCloseable {
    /**
     * Reads rows and, if the condition of every write holds, applies all writes in one transaction.
     *
     * @param transaction the reads and conditional writes
     * @return the result; {@link StoreResult.Unknown} if the reply was lost
     */
    StoreResult transact(Transaction transaction);

    /**
     * Reads one page of a table's rows in the order of their keys.
     *
     * @param table the table's name
     * @param afterKey the key after which the page starts; empty for the first page
     * @param limit the maximum number of rows to return, at least 1
     * @return {@link StoreResult.Committed} with the rows, or the reason why they could not be read
     */
    StoreResult scan(String table, String afterKey, int limit);

    @Override
    void close();
}
