package io.caperturn.store.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Connection pool that can retire all connections that are open at a given moment.
 *
 * <p>If one connection stops responding, a device on the network path has often lost the state of all connections that
 * pass through it, while new connections work. If the other connections stayed in use, each further call would spend
 * its time-out on the next dead one.
 */
final class RetiringConnectionPool extends DuplexConnectionPool {
    private final AtomicLong currentGeneration = new AtomicLong();
    private final Map<Connection, Long> generationByConnection = new ConcurrentHashMap<>();

    RetiringConnectionPool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    /** Prevents connections that are open now from serving further calls; calls in progress continue. */
    void retireOpenConnections() {
        currentGeneration.incrementAndGet();
    }

    @Override
    protected void onCreated(Connection connection) {
        generationByConnection.put(connection, currentGeneration.get());
        super.onCreated(connection);
    }

    @Override
    protected void onRemoved(Connection connection) {
        generationByConnection.remove(connection);
        super.onRemoved(connection);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        while (connection != null && generationByConnection.getOrDefault(connection, 0L) < currentGeneration.get()) {
            remove(connection);
            connection.close();
            connection = super.activate();
        }
        return connection;
    }
}
