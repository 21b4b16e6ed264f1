package io.caperturn.cli.daemon;

import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.Settings;
import java.util.Objects;

/**
 * A running entry process (accepts submissions) or sidecar process (passes tasks to an upstream).
 *
 * @param drain the action that refuses new work and returns once accepted work is finished or the drain time-out has
 *     expired
 * @param stop the action that stops the daemon and releases its resources
 */
public record Daemon(Runnable drain, Runnable stop) {
    /** Checks that both are present. */
    public Daemon {
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(stop, "stop");
    }

    /**
     * Starts daemons of one type.
     *
     * @param <T> the type of their settings
     */
    @FunctionalInterface
    public interface Starter<T extends Settings> {
        /**
         * Starts the daemon.
         *
         * @param settings the settings of the daemon
         * @return the daemon
         * @throws ServiceStartException if the daemon can't start; everything it had started is stopped by then
         */
        Daemon start(T settings) throws ServiceStartException;
    }
}
