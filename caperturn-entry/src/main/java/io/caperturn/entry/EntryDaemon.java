package io.caperturn.entry;

import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.FairScheduler;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.core.schedule.SchedulerPolicy;
import io.caperturn.entry.claim.ClaimService;
import io.caperturn.entry.engine.Engine;
import io.caperturn.entry.engine.Waiters;
import io.caperturn.entry.http.HttpService;
import io.caperturn.entry.link.LinkService;
import io.caperturn.entry.observe.EntryMeters;
import io.caperturn.entry.observe.Observer;
import io.caperturn.entry.observe.SubmissionHistory;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.IncarnationNumbers;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.LinkTimes;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.claim.ClaimPolicy;
import io.caperturn.store.http.HttpPlatformStore;
import io.caperturn.wire.LinkSettings;
import io.caperturn.wire.Peer;
import io.caperturn.wire.message.Role;
import java.time.Clock;
import java.time.Duration;

/** The entry as a process: services in a kernel, started in order and stopped in reverse. */
public final class EntryDaemon {
    private static final System.Logger LOGGER = System.getLogger(EntryDaemon.class.getName());
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_000);
    private static final int CLAIM_RING_CAPACITY = 1 << 14;
    private static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

    private final EntrySettings settings;
    private final ProcessId self;
    private final ServiceRegistry kernel;
    private final PlatformStore store;

    private EntryDaemon(EntrySettings settings, ProcessId self, ServiceRegistry kernel, PlatformStore store) {
        this.settings = settings;
        this.self = self;
        this.kernel = kernel;
        this.store = store;
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @return the running entry
     * @throws ServiceStartException if a part can't start; nothing is left running
     */
    public static EntryDaemon start(EntrySettings settings) throws ServiceStartException {
        Clock clock = Clock.systemUTC();
        ProcessId self = new ProcessId(settings.name(), IncarnationNumbers.generate(clock));
        PlatformStore store = new HttpPlatformStore(settings.platformAddress(), STORE_TIMEOUT);
        ServiceRegistry kernel = new ServiceRegistry();
        SchedulerPolicy order =
                SchedulerPolicy.DEFAULT.withUnservableGrace(Duration.ofMillis(settings.unservableGraceMilliseconds()));
        EntryMachine machine = new EntryMachine(new FairScheduler(order, new LimitShare.None()), policy(settings));
        TableService table = new TableService(store, clock);
        EntryMeters meters = new EntryMeters();
        meters.gauge("caperturn_table_version", table::tableVersion);
        kernel.register(Waiters.NAME, new Waiters());
        kernel.register(Observer.NAME, new Observer(clock, meters, new SubmissionHistory()));
        kernel.register(TableService.NAME, table);
        kernel.register(LinkService.NAME, new LinkService(links(settings, self), settings.linkAddress(), clock));
        kernel.register(RegistryService.NAME, new RegistryService(self, settings.availabilityZone(), store, clock));
        kernel.register(ClaimService.NAME, new ClaimService(self, store, claims(settings)));
        kernel.register(Engine.NAME, new Engine(machine, clock));
        kernel.register(HttpService.NAME, new HttpService(settings, clock));
        EntryDaemon daemon = new EntryDaemon(settings, self, kernel, store);
        try {
            kernel.start();
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
                        .with("link", kernel.find(LinkService.NAME).address())
                        .toString());
        return daemon;
    }

    /**
     * Returns where callers and operators reach this entry.
     *
     * @return the address as {@code host:port}
     */
    public String httpAddress() {
        return kernel.find(HttpService.NAME).address();
    }

    /** Refuses new work, and waits until all accepted work has its answer or the drain timeout passes. */
    public void drain() {
        kernel.find(HttpService.NAME).beginDrain();
        boolean complete;
        try {
            complete = kernel.find(Engine.NAME).drain(Duration.ofMillis(settings.drainTimeoutMilliseconds()));
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

    /** Stops all parts at once. */
    public void stop() {
        kernel.stop();
        store.close();
    }

    private static EntryPolicy policy(EntrySettings settings) {
        return EntryPolicy.DEFAULT.withAnswerRetention(
                Duration.ofMillis(settings.answers().milliseconds()),
                settings.answers().maximumBytes());
    }

    private static ClaimPolicy claims(EntrySettings settings) {
        return new ClaimPolicy(
                Duration.ofMillis(settings.claims().batchIntervalMilliseconds()),
                Duration.ofMillis(settings.claims().timeoutMilliseconds()),
                settings.claims().maximumBatch(),
                Duration.ofMillis(settings.claims().expiryMilliseconds()),
                CLAIM_RING_CAPACITY);
    }

    private static LinkSettings links(EntrySettings settings, ProcessId self) {
        LinkTimes times = settings.links();
        return new LinkSettings(
                new Peer(self, Role.ROLE_ENTRY, settings.availabilityZone(), ""),
                Duration.ofMillis(times.heartbeatIntervalMilliseconds()),
                Duration.ofMillis(times.silenceTimeoutMilliseconds()),
                Duration.ofMillis(times.reconnectDelayMilliseconds()),
                MAXIMUM_FRAME_BYTES);
    }
}
