package io.caperturn.entry.http;

import io.caperturn.entry.observe.EntryMetrics;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Endpoint of {@code /healthz}, {@code /readyz} and {@code /metrics}. */
final class HealthEndpoint implements HttpEndpoint {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Supplier<Optional<String>> unreadyReason;
    private final EntryMetrics metrics;

    /**
     * Creates the endpoint.
     *
     * @param unreadiness why the entry can't take work now, empty if it can
     * @param meters the metrics
     */
    HealthEndpoint(Supplier<Optional<String>> unreadiness, EntryMetrics meters) {
        this.unreadyReason = unreadiness;
        this.metrics = meters;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) {
        switch (request.getHttpURI().getPath()) {
            case "/metrics" -> ResponseWriter.writeText(response, callback, OK, metrics.scrape());
            case "/readyz" -> {
                Optional<String> reason = unreadyReason.get();
                ResponseWriter.writeText(
                        response, callback, reason.isEmpty() ? OK : SERVICE_UNAVAILABLE, reason.orElse("ready") + "\n");
            }
            default -> ResponseWriter.writeText(response, callback, OK, "healthy\n");
        }
    }
}
