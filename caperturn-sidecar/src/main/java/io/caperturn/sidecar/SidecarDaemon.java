package io.caperturn.sidecar;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.IncarnationNumbers;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.sidecar.internal.AnnouncementService;
import io.caperturn.sidecar.internal.HttpUpstreamClient;
import io.caperturn.sidecar.internal.LinkService;
import io.caperturn.sidecar.internal.MachineService;
import io.caperturn.sidecar.internal.SidecarMeters;
import io.caperturn.sidecar.internal.SidecarServices;
import io.caperturn.sidecar.internal.TableKeeper;
import java.time.Clock;
import java.time.Duration;

/**
 * A running sidecar: the one process beside an upstream that starts work there.
 *
 * <p>Several may run in one process, each with its own settings.
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
     * @param settings its settings
     * @return the running sidecar
     * @throws ServiceStartException if a part can't start; nothing is left running then
     */
    public static SidecarDaemon start(SidecarSettings settings) throws ServiceStartException {
        ProcessId self = new ProcessId(settings.name(), IncarnationNumbers.generate(Clock.systemUTC()));
        TableKeeper table = new TableKeeper();
        ServiceRegistry kernel = new ServiceRegistry();
        kernel.register(SidecarServices.METERS, new SidecarMeters());
        kernel.register(SidecarServices.UPSTREAM, new HttpUpstreamClient(settings.upstream()));
        kernel.register(SidecarServices.MACHINE, new MachineService(self, policyOf(settings)));
        kernel.register(SidecarServices.LINKS, new LinkService(self, settings, table));
        kernel.register(SidecarServices.ANNOUNCEMENTS, new AnnouncementService(settings.announceAddress(), table));
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
     * Returns where the upstream announces itself.
     *
     * @return the address as {@code host:port}
     */
    public String announceAddress() {
        return kernel.find(SidecarServices.ANNOUNCEMENTS).address();
    }

    /**
     * Returns who this process is.
     *
     * @return its name and incarnation
     */
    public ProcessId self() {
        return self;
    }

    /** Refuses new work and waits until what runs has ended and was reported, or the drain timeout has passed. */
    public void drain() {
        kernel.find(SidecarServices.ANNOUNCEMENTS).beginDrain();
        boolean complete = kernel.find(SidecarServices.MACHINE).drain(drainTimeout);
        if (!complete) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("drain-timed-out").with("name", self.name()).toString());
        }
        kernel.find(SidecarServices.LINKS).sayFarewell(FAREWELL_TIMEOUT);
        kernel.find(SidecarServices.MACHINE).awaitHandled(FAREWELL_TIMEOUT);
    }

    /** Stops at once; what runs is cut. */
    public void stop() {
        kernel.stop();
    }

    private static SidecarPolicy policyOf(SidecarSettings settings) {
        return new SidecarPolicy(
                Duration.ofMillis(settings.upstream().announcementTimeoutMilliseconds()),
                settings.upstream().queuedPerSlot(),
                Duration.ofMillis(settings.ledger().reachMilliseconds()),
                settings.ledger().maximumLines(),
                settings.ledger().maximumResultBytes());
    }
}
