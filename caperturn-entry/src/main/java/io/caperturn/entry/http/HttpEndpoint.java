package io.caperturn.entry.http;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handler of the HTTP requests of one path or of one prefix of paths. */
public interface HttpEndpoint {
    /**
     * Handles a request; may block, since each request has its own virtual thread.
     *
     * @param request the request
     * @param response the response
     * @param callback must be completed exactly once, when the response is written
     * @throws Exception if the request cannot be handled. An {@link java.io.IOException} fails the callback; for any
     *     other exception the client receives status 500
     */
    void handle(Request request, Response response, Callback callback) throws Exception;
}
