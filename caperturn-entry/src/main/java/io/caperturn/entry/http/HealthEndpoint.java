package io.caperturn.entry.http;

import io.caperturn.entry.observe.EntryMeters;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Endpoint of {@code /healthz}, {@code /readyz} and {@code /metrics}. */
final class HealthEndpoint implements Endpoint {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Supplier<Optional<String>> unreadiness;
    private final EntryMeters meters;

    /**
     * Creates the endpoint.
     *
     * @param unreadiness why the entry can't take work now, empty if it can
     * @param meters the metrics
     */
    HealthEndpoint(Supplier<Optional<String>> unreadiness, EntryMeters meters) {
        this.unreadiness = unreadiness;
        this.meters = meters;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) {
        switch (request.getHttpURI().getPath()) {
            case "/metrics" -> Replies.text(response, callback, OK, meters.scrape());
            case "/readyz" -> {
                Optional<String> reason = unreadiness.get();
                Replies.text(
                        response, callback, reason.isEmpty() ? OK : SERVICE_UNAVAILABLE, reason.orElse("ready") + "\n");
            }
            default -> Replies.text(response, callback, OK, "healthy\n");
        }
    }
}
