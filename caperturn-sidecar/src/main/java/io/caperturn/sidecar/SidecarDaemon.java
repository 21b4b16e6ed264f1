package io.caperturn.sidecar;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.IncarnationNumbers;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.sidecar.internal.HttpUpstreamClient;
import io.caperturn.sidecar.internal.SidecarHttpService;
import io.caperturn.sidecar.internal.SidecarLinkService;
import io.caperturn.sidecar.internal.SidecarMachineService;
import io.caperturn.sidecar.internal.SidecarMeters;
import io.caperturn.sidecar.internal.SidecarServices;
import io.caperturn.sidecar.internal.TableReplica;
import java.time.Clock;
import java.time.Duration;

/**
 * A running sidecar, which receives tasks from entries, the processes that accept submissions from callers, and starts
 * them at one upstream, the server that runs them.
 *
 * <p>One Java process can run several sidecars, each with its own settings.
 */
public final class SidecarDaemon {
    private static final System.Logger LOGGER = System.getLogger(SidecarDaemon.class.getName());
    /** Maximum time to wait for the entries' replies, and then again for the handling of queued events. */
    private static final Duration FAREWELL_TIMEOUT = Duration.ofSeconds(1);

    private final ServiceRegistry services;
    private final ProcessId self;
    private final Duration drainTimeout;

    private SidecarDaemon(ServiceRegistry services, ProcessId self, Duration drainTimeout) {
        this.services = services;
        this.self = self;
        this.drainTimeout = drainTimeout;
    }

    /**
     * Starts a sidecar.
     *
     * @param settings the sidecar's settings
     * @return the running sidecar
     * @throws ServiceStartException if a service can't start; those started before it are stopped again
     */
    public static SidecarDaemon start(SidecarSettings settings) throws ServiceStartException {
        ProcessId self = new ProcessId(settings.name(), IncarnationNumbers.generate(Clock.systemUTC()));
        TableReplica table = new TableReplica();
        ServiceRegistry services = new ServiceRegistry();
        services.register(SidecarServices.METERS, new SidecarMeters());
        services.register(SidecarServices.UPSTREAM_CLIENT, new HttpUpstreamClient(settings.upstream()));
        services.register(SidecarServices.STATE_MACHINE, new SidecarMachineService(self, toPolicy(settings)));
        services.register(SidecarServices.LINKS, new SidecarLinkService(self, settings, table));
        services.register(SidecarServices.HTTP, new SidecarHttpService(settings.announceAddress(), table));
        services.start();
        SidecarDaemon daemon =
                new SidecarDaemon(services, self, Duration.ofMillis(settings.drainTimeoutMilliseconds()));
        LOGGER.log(
                System.Logger.Level.INFO,
                EventLine.of("listening")
                        .with("name", settings.name())
                        .with("announce", daemon.announceAddress())
                        .with("incarnation", Long.toHexString(self.incarnation()))
                        .toString());
        return daemon;
    }

    /**
     * Returns the address to which the upstream sends its announcements.
     *
     * @return the address as {@code host:port}
     */
    public String announceAddress() {
        return services.find(SidecarServices.HTTP).address();
    }

    /**
     * Returns the identity of this sidecar.
     *
     * @return its name and its incarnation, the number of this start of the process
     */
    public ProcessId self() {
        return self;
    }

    /**
     * Refuses new tasks and waits until the accepted tasks have finished and were reported, at most for the drain
     * time-out. Then sends all linked entries a farewell, and waits for theirs: an entry sends no tasks after it.
     */
    public void drain() {
        services.find(SidecarServices.HTTP).reportNotReady();
        boolean complete = services.find(SidecarServices.STATE_MACHINE).drain(drainTimeout);
        if (!complete) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("drain-timed-out").with("name", self.name()).toString());
        }
        services.find(SidecarServices.LINKS).exchangeFarewells(FAREWELL_TIMEOUT);
        services.find(SidecarServices.STATE_MACHINE).awaitHandledEvents(FAREWELL_TIMEOUT);
    }

    /** Stops at once, and interrupts the requests of tasks that are still running. */
    public void stop() {
        services.stop();
    }

    /**
     * Returns the limits and time-outs of the state machine. The setting {@code reachMilliseconds} is the time for
     * which the ledger, its record of attempts, keeps finished attempts.
     */
    private static SidecarPolicy toPolicy(SidecarSettings settings) {
        return new SidecarPolicy(
                Duration.ofMillis(settings.upstream().announcementTimeoutMilliseconds()),
                settings.upstream().queuedPerSlot(),
                Duration.ofMillis(settings.ledger().reachMilliseconds()),
                settings.ledger().maximumLines(),
                settings.ledger().maximumResultBytes());
    }
}
