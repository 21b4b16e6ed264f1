package io.caperturn.entry.http;

import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.entry.link.EntryLinkService;
import io.caperturn.entry.observe.EntryObserver;
import io.caperturn.entry.registry.RegistryService;
import io.caperturn.entry.table.TableEndpoint;
import io.caperturn.entry.table.TableService;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.EntrySettings;
import java.time.Clock;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.VirtualThreads;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Service that serves HTTP to the callers and operators of an entry, the process that accepts submissions. */
public final class EntryHttpService implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<EntryHttpService> NAME = new ServiceName<>("http", EntryHttpService.class);

    /** Maximum time for which a stop waits until the responses to open requests are sent. */
    private static final long RESPONSE_COMPLETION_TIMEOUT_MILLISECONDS = 5_000;

    private static final int MAXIMUM_THREADS = 32;

    private final EntrySettings settings;
    private final Clock clock;
    private Server server;
    private ServerConnector connector;
    /** Operators' weights and limits. */
    private TableService table;

    /** This entry's membership and enrolment record in the platform's store. */
    private RegistryService registry;

    private volatile boolean draining;

    /**
     * Creates the service.
     *
     * @param settings the entry's settings
     * @param clock source of time
     */
    public EntryHttpService(EntrySettings settings, Clock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void start(ServiceRegistry services) throws ServiceStartException {
        table = services.find(TableService.NAME);
        registry = services.find(RegistryService.NAME);
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS);
        threads.setName("http");
        threads.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(settings.requests().maximumHeaderBytes());
        configuration.setSendServerVersion(false);
        // One acceptor and one selector.
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        int colon = settings.httpAddress().lastIndexOf(':');
        connector.setHost(settings.httpAddress().substring(0, colon));
        connector.setPort(Integer.parseInt(settings.httpAddress().substring(colon + 1)));
        server.addConnector(connector);
        server.setHandler(new GracefulHandler(new Router(routes(services))));
        server.setStopTimeout(RESPONSE_COMPLETION_TIMEOUT_MILLISECONDS);
        server.setErrorHandler(new ProblemErrorHandler());
        try {
            server.start();
        } catch (Exception e) {
            stop();
            throw new ServiceStartException("cannot serve HTTP: " + e.getMessage(), e);
        }
    }

    @Override
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP server did not stop", e);
        }
    }

    /** Makes {@code /readyz} fail, so that the load balancer sends no more clients to this entry. */
    public void beginDrain() {
        draining = true;
    }

    /**
     * Returns the address at which HTTP is served.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return connector.getHost() + ":" + connector.getLocalPort();
    }

    private List<Router.Route> routes(ServiceRegistry services) {
        EntryEventLoop eventLoop = services.find(EntryEventLoop.NAME);
        WaiterRegistry waiters = services.find(WaiterRegistry.NAME);
        EntryObserver observer = services.find(EntryObserver.NAME);
        TableEndpoint tableEndpoint = new TableEndpoint(
                table.editor(), table::requestStoreRead, settings.requests().maximumBodyBytes());
        HealthEndpoint health = new HealthEndpoint(this::unreadyReason, observer.metrics());
        return List.of(
                new Router.Route("/", new PageEndpoint()),
                new Router.Route(
                        "/v1/jobs",
                        new SubmitEndpoint(
                                SubmitEndpoint.Resource.JOBS,
                                eventLoop,
                                waiters,
                                settings.requests(),
                                observer.metrics(),
                                clock)),
                new Router.Route(
                        "/v1/requests",
                        new SubmitEndpoint(
                                SubmitEndpoint.Resource.REQUESTS,
                                eventLoop,
                                waiters,
                                settings.requests(),
                                observer.metrics(),
                                clock)),
                new Router.Route("/v1/submissions/", new SubmissionEndpoint(eventLoop, observer.history())),
                new Router.Route(TableEndpoint.PATH, tableEndpoint),
                new Router.Route(TableEndpoint.PATH + "/", tableEndpoint),
                new Router.Route(
                        "/v1/status",
                        new StatusEndpoint(
                                settings,
                                new StatusCollector(eventLoop, services.find(EntryLinkService.NAME), table),
                                () -> draining)),
                new Router.Route("/healthz", health),
                new Router.Route("/readyz", health),
                new Router.Route("/metrics", health));
    }

    private Optional<String> unreadyReason() {
        if (draining) {
            return Optional.of("draining");
        }
        if (registry.isDeclaredLost()) {
            return Optional.of("declared lost by another entry; replace this process");
        }
        return table.tableVersion() == 0 ? Optional.of("no table is known yet") : Optional.empty();
    }
}
