package io.caperturn.store.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/**
 * Pool that replaces every connection which was open when one of them went silent.
 *
 * <p>What loses track of one connection has often lost track of all that pass through it, while new ones work; without
 * this each further call would spend its timeout on the next silent one.
 */
final class DistrustingConnectionPool extends DuplexConnectionPool {
    private final AtomicLong generation = new AtomicLong();
    private final Map<Connection, Long> generations = new ConcurrentHashMap<>();

    DistrustingConnectionPool(Destination destination, int maximumConnections) {
        super(destination, maximumConnections);
    }

    /** Lets no connection that is open now serve another call; calls in progress go on. */
    void distrust() {
        generation.incrementAndGet();
    }

    @Override
    protected void onCreated(Connection connection) {
        generations.put(connection, generation.get());
        super.onCreated(connection);
    }

    @Override
    protected void onRemoved(Connection connection) {
        generations.remove(connection);
        super.onRemoved(connection);
    }

    @Override
    protected Connection activate() {
        Connection connection = super.activate();
        while (connection != null && generations.getOrDefault(connection, 0L) < generation.get()) {
            remove(connection);
            connection.close();
            connection = super.activate();
        }
        return connection;
    }
}
