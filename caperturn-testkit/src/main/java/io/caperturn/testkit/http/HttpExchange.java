package io.caperturn.testkit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP request to a stand-in and its response. The response can be sent later, by any thread, or not at all. */
public final class HttpExchange {
    private static final int NO_CONTENT = 204;

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final String body;
    private final AtomicBoolean respondedOrAborted = new AtomicBoolean();

    HttpExchange(Request request, Response response, Callback callback, String body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path of the request.
     *
     * @return the decoded path without the query
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Returns a query parameter.
     *
     * @param name the parameter's name
     * @param fallback the value returned if the parameter is absent
     * @return the value
     */
    public String queryParameter(String name, String fallback) {
        String value = Request.extractQueryParameters(request).getValue(name);
        return value == null ? fallback : value;
    }

    /**
     * Returns a request header.
     *
     * @param name the header's name
     * @return the value, or an empty string if the header is absent
     */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /**
     * Returns the request body as JSON.
     *
     * @return the body
     * @throws IllegalArgumentException if the body is not valid JSON
     */
    public JsonNode body() {
        return TestkitJson.parse(body);
    }

    /**
     * Returns the Jetty connection that the request arrived on.
     *
     * @return the connection
     */
    public Connection connection() {
        return request.getConnectionMetaData().getConnection();
    }

    /**
     * Sends a response with an empty body.
     *
     * @param status the HTTP status
     */
    public void respond(int status) {
        respond(status, "application/json", "");
    }

    /**
     * Sends a JSON response.
     *
     * @param status the HTTP status
     * @param value the body
     */
    public void respond(int status, JsonNode value) {
        respond(status, "application/json", value.toString());
    }

    /**
     * Sends a response. Does nothing if a response was already sent or the exchange was aborted.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param text the body
     */
    public void respond(int status, String contentType, String text) {
        if (!respondedOrAborted.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(status);
        if (status == NO_CONTENT) {
            callback.succeeded();
            return;
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Closes the connection without a response. Does nothing if a response was already sent. */
    public void abort() {
        if (respondedOrAborted.compareAndSet(false, true)) {
            connection().getEndPoint().close(new IOException("aborted by the stand-in"));
            callback.failed(new IOException("aborted by the stand-in"));
        }
    }
}
