package io.caperturn.entry.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.EntrySettings;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP endpoint of {@code GET /v1/status}: the state of this entry process, of the processes it knows and of its
 * queues.
 */
final class StatusEndpoint implements HttpEndpoint {
    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final EntrySettings settings;
    private final StatusCollector collector;
    private final BooleanSupplier isDraining;

    /**
     * Creates the endpoint.
     *
     * @param settings the entry's settings
     * @param collector collector of the state
     * @param isDraining returns whether the entry is draining
     */
    StatusEndpoint(EntrySettings settings, StatusCollector collector, BooleanSupplier isDraining) {
        this.settings = settings;
        this.collector = collector;
        this.isDraining = isDraining;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) throws InterruptedException {
        if (!HttpMethod.GET.is(request.getMethod())) {
            response.getHeaders().put("Allow", "GET");
            ResponseWriter.writeProblem(
                    response, callback, ProblemDetails.badRequest(METHOD_NOT_ALLOWED, "GET is allowed here"));
            return;
        }
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("entry", settings.name())
                .put("availabilityZone", settings.availabilityZone())
                .put("state", isDraining.getAsBoolean() ? "draining" : "serving");
        collector.addTo(json);
        ResponseWriter.writeJson(response, callback, OK, json);
    }
}
