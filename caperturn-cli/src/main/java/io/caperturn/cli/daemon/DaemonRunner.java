package io.caperturn.cli.daemon;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.check.SettingsReport;
import io.caperturn.entry.EntryDaemon;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.Settings;
import io.caperturn.settings.SettingsLoader;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsResult;
import io.caperturn.settings.SettingsRole;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.sidecar.SidecarDaemon;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Runs a daemon (entry or sidecar process): loads its settings, starts it and waits for a signal, then drains and stops
 * it.
 *
 * <p>SIGTERM and SIGINT drain the daemon in a shutdown hook and end the process with {@link ExitCode#DONE}, so that a
 * planned stop can be distinguished from a crash.
 */
public final class DaemonRunner {
    private static final System.Logger LOGGER = System.getLogger(DaemonRunner.class.getName());

    private DaemonRunner() {}

    /**
     * Runs an entry; returns only on a failure, since a signal ends the process.
     *
     * @param file the settings file
     * @param terminal the terminal for reports on mistakes in the settings
     * @return {@link ExitCode#WRONG_USAGE} if the settings are invalid, {@link ExitCode#FAILED} if the start failed or
     *     the waiting thread was interrupted
     */
    public static ExitCode runEntry(Path file, Terminal terminal) {
        return run(file, EntrySettings.class, DaemonRunner::startEntry, terminal);
    }

    /**
     * Runs a sidecar; returns only on a failure, since a signal ends the process.
     *
     * @param file the settings file
     * @param terminal the terminal for reports on mistakes in the settings
     * @return {@link ExitCode#WRONG_USAGE} if the settings are invalid, {@link ExitCode#FAILED} if the start failed or
     *     the waiting thread was interrupted
     */
    public static ExitCode runSidecar(Path file, Terminal terminal) {
        return run(file, SidecarSettings.class, DaemonRunner::startSidecar, terminal);
    }

    private static Daemon startEntry(EntrySettings settings) throws ServiceStartException {
        EntryDaemon daemon = EntryDaemon.start(settings);
        return new Daemon(daemon::drain, daemon::stop);
    }

    private static Daemon startSidecar(SidecarSettings settings) throws ServiceStartException {
        SidecarDaemon daemon = SidecarDaemon.start(settings);
        return new Daemon(daemon::drain, daemon::stop);
    }

    private static <T extends Settings> ExitCode run(
            Path file, Class<T> type, Daemon.Starter<T> starter, Terminal terminal) {
        return switch (SettingsLoader.load(file, type)) {
            case SettingsResult.Invalid<T>(List<SettingsMistake> mistakes) -> {
                SettingsReport.print(file, SettingsRole.of(type), mistakes, terminal);
                yield ExitCode.WRONG_USAGE;
            }
            case SettingsResult.Valid<T>(T settings) -> runUntilStopped(settings, starter, terminal);
        };
    }

    private static <T extends Settings> ExitCode runUntilStopped(
            T settings, Daemon.Starter<T> starter, Terminal terminal) {
        Daemon daemon;
        try {
            daemon = starter.start(settings);
        } catch (ServiceStartException e) {
            terminal.messages().println(settings.name() + " did not start: " + e.getMessage());
            return ExitCode.FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndStop(settings.name(), daemon), "shutdown"));
        try {
            // Blocks until a signal starts the shutdown hook, which ends the process.
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.FAILED;
    }

    private static void drainAndStop(String name, Daemon daemon) {
        log("draining", name);
        daemon.drain().run();
        daemon.stop().run();
        log("stopped", name);
        Runtime.getRuntime().halt(ExitCode.DONE.code());
    }

    private static void log(String event, String name) {
        LOGGER.log(
                System.Logger.Level.INFO,
                EventLine.of(event).with("process", name).toString());
    }
}
