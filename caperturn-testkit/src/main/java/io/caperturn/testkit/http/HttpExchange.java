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

/** One request to a stand-in, which may be answered later, from any thread, or never. */
public final class HttpExchange {
    private static final int NO_CONTENT = 204;

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final String body;
    private final AtomicBoolean ended = new AtomicBoolean();

    HttpExchange(Request request, Response response, Callback callback, String body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    /**
     * Returns the method.
     *
     * @return the method in upper case
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path.
     *
     * @return the path, decoded, without the query
     */
    public String path() {
        return Request.getPathInContext(request);
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the parameter's name
     * @param fallback what counts if it is absent
     * @return the value
     */
    public String query(String name, String fallback) {
        String value = Request.extractQueryParameters(request).getValue(name);
        return value == null ? fallback : value;
    }

    /**
     * Returns a header.
     *
     * @param name the header's name
     * @return the value, empty if absent
     */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /**
     * Returns the body as JSON.
     *
     * @return the body
     * @throws IllegalArgumentException if it is no JSON
     */
    public JsonNode body() {
        return Json.parse(body);
    }

    /**
     * Returns the connection that brought the request.
     *
     * @return the connection
     */
    public Connection connection() {
        return request.getConnectionMetaData().getConnection();
    }

    /**
     * Answers without a body.
     *
     * @param status the HTTP status
     */
    public void answer(int status) {
        answer(status, "application/json", "");
    }

    /**
     * Answers with JSON.
     *
     * @param status the HTTP status
     * @param value the body
     */
    public void answer(int status, JsonNode value) {
        answer(status, "application/json", value.toString());
    }

    /**
     * Answers with a text; all but the first end of an exchange are ignored.
     *
     * @param status the HTTP status
     * @param contentType the text's media type
     * @param text the body
     */
    public void answer(int status, String contentType, String text) {
        if (!ended.compareAndSet(false, true)) {
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

    /** Closes the connection without a reply. */
    public void abort() {
        if (ended.compareAndSet(false, true)) {
            connection().getEndPoint().close(new IOException("aborted by the stand-in"));
            callback.failed(new IOException("aborted by the stand-in"));
        }
    }
}
