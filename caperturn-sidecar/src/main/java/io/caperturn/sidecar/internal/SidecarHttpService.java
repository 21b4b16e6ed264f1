package io.caperturn.sidecar.internal;

import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server for the announcements of the upstream, and for health, readiness and metrics. */
public final class SidecarHttpService implements Service {
    private static final System.Logger LOGGER = System.getLogger(SidecarHttpService.class.getName());
    private static final int MAXIMUM_THREADS = 6;
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

    private final String host;
    private final int port;
    private final TableReplica table;
    private Server server;
    private ServerConnector connector;
    private SidecarMachineService machine;
    private UpstreamClient upstream;
    private SidecarMeters meters;
    private volatile boolean draining;

    /**
     * Creates the service.
     *
     * @param address the address to listen on, {@code host:port}; port 0 for any free port
     * @param table the local copy of the weights and limits that operators set for kinds
     */
    public SidecarHttpService(String address, TableReplica table) {
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
        this.table = table;
    }

    @Override
    public void start(ServiceRegistry services) throws ServiceStartException {
        machine = services.find(SidecarServices.STATE_MACHINE);
        upstream = services.find(SidecarServices.UPSTREAM_CLIENT);
        meters = services.find(SidecarServices.METERS);
        meters.gauge("caperturn.table.version", "Version of the table in force", table::tableVersion);
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, /* minThreads= */ 1);
        threads.setName("announcements");
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        connector = new ServerConnector(
                server, /* acceptors= */ 1, /* selectors= */ 1, new HttpConnectionFactory(configuration));
        connector.setHost(host);
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new RequestHandler());
        try {
            server.start();
        } catch (Exception e) {
            stop();
            throw new ServiceStartException(
                    "HTTP server can't listen on " + host + ":" + port + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("announcements-stop-failed").toString(),
                    e);
        }
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return host + ":" + connector.getLocalPort();
    }

    /** Makes the readiness check fail from now on. */
    public void reportNotReady() {
        draining = true;
    }

    private void applyAnnouncement(AnnouncementRequest announcement) {
        upstream.updateTarget(announcement.address(), announcement.connections());
        table.setServedKinds(announcement.description().kinds());
        machine.post(new SidecarEvent.UpstreamAnnounced(announcement.description(), announcement.isLeaving()));
    }

    private final class RequestHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            String path = Request.getPathInContext(request);
            boolean isGet = "GET".equals(request.getMethod());
            switch (path) {
                case "/v1/announcements" -> {
                    if ("POST".equals(request.getMethod())) {
                        readAnnouncement(request, response, callback);
                    } else {
                        respond(response, callback, HttpStatus.METHOD_NOT_ALLOWED_405, "POST only\n");
                    }
                }
                case "/healthz" -> respond(response, callback, isGet ? HttpStatus.OK_200 : 405, "ok\n");
                case "/readyz" -> {
                    boolean ready = !draining && meters.load().serving();
                    respond(
                            response,
                            callback,
                            ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503,
                            ready ? "ready\n" : "not ready\n");
                }
                case "/metrics" -> respond(response, callback, HttpStatus.OK_200, meters.scrape());
                default -> respond(response, callback, HttpStatus.NOT_FOUND_404, "no such path\n");
            }
            return true;
        }

        private void readAnnouncement(Request request, Response response, Callback callback) {
            Content.Source.asByteArrayAsync(request, MAXIMUM_BODY_BYTES, new Promise.Invocable<>() {
                @Override
                public void succeeded(byte[] body) {
                    handleAnnouncement(body, response, callback);
                }

                @Override
                public void failed(Throwable failure) {
                    respond(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "body not read\n");
                }
            });
        }

        private void handleAnnouncement(byte[] body, Response response, Callback callback) {
            try {
                applyAnnouncement(AnnouncementRequest.parse(body));
                response.setStatus(HttpStatus.NO_CONTENT_204);
                callback.succeeded();
            } catch (MalformedAnnouncementException e) {
                LOGGER.log(
                        System.Logger.Level.WARNING,
                        EventLine.of("announcement-malformed")
                                .with("reason", e.getMessage())
                                .toString());
                respond(response, callback, HttpStatus.BAD_REQUEST_400, e.getMessage() + "\n");
            }
        }
    }

    private static void respond(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8");
        response.write(/* last= */ true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
