package io.caperturn.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writer of HTTP responses; no method blocks. */
public final class ResponseWriter {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ResponseWriter() {}

    /**
     * Writes a JSON response.
     *
     * @param response the response
     * @param callback completed when the response is written
     * @param status the HTTP status
     * @param json the body
     */
    public static void writeJson(Response response, Callback callback, int status, JsonNode json) {
        write(response, callback, status, "application/json", toBytes(json));
    }

    /**
     * Writes a plain text response.
     *
     * @param response the response
     * @param callback completed when the response is written
     * @param status the HTTP status
     * @param text the body
     */
    public static void writeText(Response response, Callback callback, int status, String text) {
        write(response, callback, status, "text/plain;charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes problem details. The header {@code Retry-After} is set if the problem has a time to retry, rounded up to
     * whole seconds.
     *
     * @param response the response
     * @param callback completed when the response is written
     * @param problem the problem
     */
    public static void writeProblem(Response response, Callback callback, ProblemDetails problem) {
        problem.retryAfter()
                .ifPresent(after ->
                        response.getHeaders().put(HttpHeader.RETRY_AFTER, String.valueOf(toWholeSeconds(after))));
        write(response, callback, problem.status(), "application/problem+json", toBytes(problem.toJson()));
    }

    /**
     * Writes a response.
     *
     * @param response the response
     * @param callback completed when the response is written
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the body
     */
    public static void write(Response response, Callback callback, int status, String contentType, byte[] body) {
        // A response may be written before the request's body has arrived. The server then closes the connection and
        // must announce this, or the client would lose its next request on the connection.
        if (!response.getRequest().consumeAvailable()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        }
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(/* last= */ true, ByteBuffer.wrap(body), callback);
    }

    private static long toWholeSeconds(Duration duration) {
        return Math.max(1, (duration.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
    }

    private static byte[] toBytes(JsonNode json) {
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }
}
