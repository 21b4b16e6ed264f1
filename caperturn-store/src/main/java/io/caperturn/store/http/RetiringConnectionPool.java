package io.caperturn.store.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Connection pool that can be told to stop using all connections that are open at that moment.
 *
 * <p>If one connection stops responding, a device on the network path has often lost the state of all connections that
 * pass through it, while new connections work. If the other connections stayed in use, each further call would spend
 * its time-out on the next dead one.
 */
final class RetiringConnectionPool extends DuplexConnectionPool {
    /** Number of calls of {@link #retireOpenConnections} so far. */
    private final AtomicLong retirementCount = new AtomicLong();
    /** {@link #retirementCount} at the opening of each connection; a connection with a lower value is retired. */
    private final Map<Connection, Long> retirementCountAtOpening = new ConcurrentHashMap<>();

    RetiringConnectionPool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    /** Prevents connections that are open now from serving further calls; calls in progress continue. */
    void retireOpenConnections() {
        retirementCount.incrementAndGet();
    }

    @Override
    protected void onCreated(Connection connection) {
        retirementCountAtOpening.put(connection, retirementCount.get());
        super.onCreated(connection);
    }

    @Override
    protected void onRemoved(Connection connection) {
        retirementCountAtOpening.remove(connection);
        super.onRemoved(connection);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        while (connection != null && retirementCountAtOpening.getOrDefault(connection, 0L) < retirementCount.get()) {
            remove(connection);
            connection.close();
            connection = super.activate();
        }
        return connection;
    }
}
