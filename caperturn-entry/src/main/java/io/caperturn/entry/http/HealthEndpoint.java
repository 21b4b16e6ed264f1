package io.caperturn.entry.http;

import io.caperturn.entry.observe.EntryMetrics;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP endpoint of {@code /healthz}, {@code /readyz} and {@code /metrics}. */
final class HealthEndpoint implements HttpEndpoint {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Supplier<Optional<String>> unreadyReason;
    private final EntryMetrics metrics;

    /**
     * Creates the endpoint.
     *
     * @param unreadyReason returns the reason why the entry process cannot accept submissions now, empty if it can
     * @param metrics the metrics
     */
    HealthEndpoint(Supplier<Optional<String>> unreadyReason, EntryMetrics metrics) {
        this.unreadyReason = unreadyReason;
        this.metrics = metrics;
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
