package io.caperturn.entry.http;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handler of the requests whose path begins with a certain prefix. */
public interface HttpEndpoint {
    /**
     * Handles a request; may block, since each request has a thread of its own.
     *
     * @param request the request
     * @param response the response
     * @param callback to be completed exactly once, when the reply is written
     * @throws Exception if the request can't be read; the client then gets a problem
     */
    void handle(Request request, Response response, Callback callback) throws Exception;
}
