package io.caperturn.entry;

import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.FairScheduler;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.core.schedule.SchedulerPolicy;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.entry.http.EntryHttpService;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.observe.EntryMetrics;
import io.caperturn.entry.observe.EntryObserver;
import io.caperturn.entry.observe.SubmissionHistory;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.IncarnationNumbers;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.claim.ClaimPolicy;
import io.caperturn.store.http.HttpPlatformStore;
import io.caperturn.wire.LinkEndpointSettings;
import io.caperturn.wire.Peer;
import io.caperturn.wire.message.Role;
import java.time.Clock;
import java.time.Duration;

/**
 * A running entry: the process that accepts submissions from callers, sends their tasks to sidecars and returns the
 * answers. A sidecar is the process beside an upstream; it passes tasks to the upstream.
 *
 * <p>The entry consists of services, which a {@link ServiceRegistry} starts in the order of their registration and
 * stops in reverse order.
 */
public final class EntryDaemon {
    private static final System.Logger LOGGER = System.getLogger(EntryDaemon.class.getName());
    private static final Duration STORE_REQUEST_TIMEOUT = Duration.ofMillis(1_000);
    /** Maximum number of claims (stored records of a submission's owner) that wait to be written. */
    private static final int CLAIM_QUEUE_CAPACITY = 1 << 14;

    private static final int MAXIMUM_LINK_FRAME_BYTES = 64 * 1024 * 1024;

    private final EntrySettings settings;
    private final ProcessId self;
    private final ServiceRegistry services;
    private final PlatformStore store;

    private EntryDaemon(EntrySettings settings, ProcessId self, ServiceRegistry services, PlatformStore store) {
        this.settings = settings;
        this.self = self;
        this.services = services;
        this.store = store;
    }

    /**
     * Starts an entry.
     *
     * @param settings the settings of the entry
     * @return the running entry
     * @throws ServiceStartException if a service cannot start; all services are stopped again
     */
    public static EntryDaemon start(EntrySettings settings) throws ServiceStartException {
        Clock clock = Clock.systemUTC();
        ProcessId self = new ProcessId(settings.name(), IncarnationNumbers.generate(clock));
        PlatformStore store = new HttpPlatformStore(settings.platformAddress(), STORE_REQUEST_TIMEOUT);
        ServiceRegistry services = new ServiceRegistry();
        // Grace: the time for which a kind of task may have no upstream before submissions are refused.
        SchedulerPolicy schedulerPolicy =
                SchedulerPolicy.DEFAULT.withUnservableGrace(Duration.ofMillis(settings.unservableGraceMilliseconds()));
        // Entries share each limit; this one has no share until the store has confirmed its membership.
        EntryMachine machine =
                new EntryMachine(new FairScheduler(schedulerPolicy, new LimitShare.None()), entryPolicy(settings));
        TableService table = new TableService(store, clock);
        EntryMetrics metrics = new EntryMetrics();
        metrics.addGauge("caperturn_table_version", table::tableVersion);
        services.register(WaiterRegistry.NAME, new WaiterRegistry());
        services.register(EntryObserver.NAME, new EntryObserver(clock, metrics, new SubmissionHistory()));
        services.register(TableService.NAME, table);
        services.register(
                EntryLinkService.NAME,
                new EntryLinkService(linkSettings(settings, self), settings.linkAddress(), clock));
        services.register(RegistryService.NAME, new RegistryService(self, settings.availabilityZone(), store, clock));
        services.register(ClaimService.NAME, new ClaimService(self, store, claimPolicy(settings)));
        services.register(EntryEventLoop.NAME, new EntryEventLoop(machine, clock));
        services.register(EntryHttpService.NAME, new EntryHttpService(settings, clock));
        EntryDaemon daemon = new EntryDaemon(settings, self, services, store);
        try {
            services.start();
        } catch (ServiceStartException e) {
            store.close();
            throw e;
        }
        LOGGER.log(
                System.Logger.Level.INFO,
                () -> EventLine.of("listening")
                        .with("role", "entry")
                        .with("process", self)
                        .with("http", daemon.httpAddress())
                        .with("link", services.find(EntryLinkService.NAME).address())
                        .toString());
        return daemon;
    }

    /**
     * Returns the address at which this entry serves HTTP to callers and operators.
     *
     * @return the address as {@code host:port}
     */
    public String httpAddress() {
        return services.find(EntryHttpService.NAME).address();
    }

    /** Rejects new submissions and waits until every accepted one is answered or the drain time-out expires. */
    public void drain() {
        services.find(EntryHttpService.NAME).beginDrain();
        boolean complete;
        try {
            complete = services.find(EntryEventLoop.NAME).drain(Duration.ofMillis(settings.drainTimeoutMilliseconds()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            complete = false;
        }
        LOGGER.log(
                System.Logger.Level.INFO,
                EventLine.of("drained")
                        .with("process", self)
                        .with("complete", complete)
                        .toString());
    }

    /** Stops all services without draining. */
    public void stop() {
        services.stop();
        store.close();
    }

    private static EntryPolicy entryPolicy(EntrySettings settings) {
        return EntryPolicy.DEFAULT.withAnswerRetention(
                Duration.ofMillis(settings.answers().milliseconds()),
                settings.answers().maximumBytes());
    }

    private static ClaimPolicy claimPolicy(EntrySettings settings) {
        return new ClaimPolicy(
                Duration.ofMillis(settings.claims().batchIntervalMilliseconds()),
                Duration.ofMillis(settings.claims().timeoutMilliseconds()),
                settings.claims().maximumBatch(),
                Duration.ofMillis(settings.claims().expiryMilliseconds()),
                CLAIM_QUEUE_CAPACITY);
    }

    private static LinkEndpointSettings linkSettings(EntrySettings settings, ProcessId self) {
        LinkTimeSettings times = settings.links();
        // The link address is set once the port is bound.
        return new LinkEndpointSettings(
                new Peer(self, Role.ROLE_ENTRY, settings.availabilityZone(), /* linkAddress= */ ""),
                Duration.ofMillis(times.heartbeatIntervalMilliseconds()),
                Duration.ofMillis(times.silenceTimeoutMilliseconds()),
                Duration.ofMillis(times.reconnectDelayMilliseconds()),
                MAXIMUM_LINK_FRAME_BYTES);
    }
}
