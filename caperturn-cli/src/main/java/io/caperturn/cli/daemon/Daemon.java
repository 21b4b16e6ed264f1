package io.caperturn.cli.daemon;

import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.Settings;
import java.util.Objects;

/**
 * A started daemon.
 *
 * @param drain refuses new work and returns when accepted work is done or the drain timeout is over
 * @param stop releases everything
 */
public record Daemon(Runnable drain, Runnable stop) {
    /** Checks that both are present. */
    public Daemon {
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(stop, "stop");
    }

    /**
     * Starts a daemon.
     *
     * @param <T> its settings
     */
    @FunctionalInterface
    public interface Starter<T extends Settings> {
        /**
         * Starts the daemon.
         *
         * @param settings its settings
         * @return the daemon
         * @throws ServiceStartException if it can't start; nothing of it is left then
         */
        Daemon start(T settings) throws ServiceStartException;
    }
}
