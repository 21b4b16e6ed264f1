package io.caperturn.sidecar;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.IncarnationNumbers;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.sidecar.internal.SidecarLinkService;
import io.caperturn.sidecar.internal.HttpUpstreamClient;
import io.caperturn.sidecar.internal.SidecarHttpService;
import io.caperturn.sidecar.internal.SidecarMachineService;
import io.caperturn.sidecar.internal.SidecarMeters;
import io.caperturn.sidecar.internal.SidecarServices;
import io.caperturn.sidecar.internal.TableReplica;
import java.time.Clock;
import java.time.Duration;

/**
 * A running sidecar, which alone starts tasks at its upstream.
 *
 * <p>One Java process may run several sidecars, each with its own settings.
 */
public final class SidecarDaemon {
    private static final System.Logger LOGGER = System.getLogger(SidecarDaemon.class.getName());
    private static final Duration FAREWELL_TIMEOUT = Duration.ofSeconds(1);

    private final ServiceRegistry kernel;
    private final ProcessId self;
    private final Duration drainTimeout;

    private SidecarDaemon(ServiceRegistry kernel, ProcessId self, Duration drainTimeout) {
        this.kernel = kernel;
        this.self = self;
        this.drainTimeout = drainTimeout;
    }

    /**
     * Starts a sidecar.
     *
     * @param settings the sidecar's settings
     * @return the running sidecar
     * @throws ServiceStartException if a service can't start; no service is left running then
     */
    public static SidecarDaemon start(SidecarSettings settings) throws ServiceStartException {
        ProcessId self = new ProcessId(settings.name(), IncarnationNumbers.generate(Clock.systemUTC()));
        TableReplica table = new TableReplica();
        ServiceRegistry kernel = new ServiceRegistry();
        kernel.register(SidecarServices.METERS, new SidecarMeters());
        kernel.register(SidecarServices.UPSTREAM, new HttpUpstreamClient(settings.upstream()));
        kernel.register(SidecarServices.MACHINE, new SidecarMachineService(self, toPolicy(settings)));
        kernel.register(SidecarServices.LINKS, new SidecarLinkService(self, settings, table));
        kernel.register(SidecarServices.HTTP, new SidecarHttpService(settings.announceAddress(), table));
        kernel.start();
        SidecarDaemon daemon = new SidecarDaemon(kernel, self, Duration.ofMillis(settings.drainTimeoutMilliseconds()));
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
        return kernel.find(SidecarServices.HTTP).address();
    }

    /**
     * Returns the identity of this sidecar.
     *
     * @return its name and incarnation
     */
    public ProcessId self() {
        return self;
    }

    /**
     * Refuses new tasks, waits until the accepted tasks have finished and were reported or the drain time-out has
     * passed, and sends a farewell to all entries.
     */
    public void drain() {
        kernel.find(SidecarServices.HTTP).reportNotReady();
        boolean complete = kernel.find(SidecarServices.MACHINE).drain(drainTimeout);
        if (!complete) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("drain-timed-out").with("name", self.name()).toString());
        }
        kernel.find(SidecarServices.LINKS).exchangeFarewells(FAREWELL_TIMEOUT);
        kernel.find(SidecarServices.MACHINE).awaitHandledEvents(FAREWELL_TIMEOUT);
    }

    /** Stops at once; tasks that are still running are interrupted. */
    public void stop() {
        kernel.stop();
    }

    private static SidecarPolicy toPolicy(SidecarSettings settings) {
        return new SidecarPolicy(
                Duration.ofMillis(settings.upstream().announcementTimeoutMilliseconds()),
                settings.upstream().queuedPerSlot(),
                Duration.ofMillis(settings.ledger().reachMilliseconds()),
                settings.ledger().maximumLines(),
                settings.ledger().maximumResultBytes());
    }
}
