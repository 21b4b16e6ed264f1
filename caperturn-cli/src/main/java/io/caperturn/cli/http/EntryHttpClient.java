package io.caperturn.cli.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;

/** HTTP client that sends requests to entries (processes that accept submissions), without redirects or retries. */
public final class EntryHttpClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAXIMUM_RESPONSE_BYTES = 256 * 1024 * 1024;

    private final HttpClient client;

    private EntryHttpClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates and starts a client.
     *
     * @return the client
     * @throws IOException if the client can't start
     */
    public static EntryHttpClient open() throws IOException {
        HttpClient client = new HttpClient();
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new IOException("HTTP client did not start: " + e.getMessage(), e);
        }
        return new EntryHttpClient(client);
    }

    /**
     * Sends a request without a body.
     *
     * @param method the HTTP method
     * @param uri the absolute URI
     * @param timeout the time within which the whole response must arrive
     * @return the result
     */
    public HttpResult send(HttpMethod method, String uri, Duration timeout) {
        return execute(client.newRequest(uri).method(method), timeout);
    }

    /**
     * Sends a request with a JSON body.
     *
     * @param method the HTTP method
     * @param uri the absolute URI
     * @param body the JSON text
     * @param headers additional headers, values by name
     * @param timeout the time within which the whole response must arrive
     * @return the result
     */
    public HttpResult send(HttpMethod method, String uri, String body, Map<String, String> headers, Duration timeout) {
        Request request =
                client.newRequest(uri).method(method).body(new StringRequestContent("application/json", body));
        headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
        return execute(request, timeout);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client did not stop: " + e.getMessage(), e);
        }
    }

    private static HttpResult execute(Request request, Duration timeout) {
        Request timedRequest = request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .idleTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            ContentResponse response = new CompletableResponseListener(timedRequest, MAXIMUM_RESPONSE_BYTES)
                    .send()
                    .get();
            Optional<String> retryAfter =
                    Optional.ofNullable(response.getHeaders().get(HttpHeader.RETRY_AFTER));
            return new HttpResult.Response(response.getStatus(), response.getContentAsString(), retryAfter);
        } catch (ExecutionException e) {
            return classifyFailure(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new HttpResult.Unconfirmed("interrupted");
        }
    }

    private static HttpResult classifyFailure(Throwable cause) {
        String message = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        return switch (cause) {
            case ConnectException connectionRefused -> new HttpResult.NotSent(message);
            // Jetty throws this only while it connects; when a response is late, it throws TimeoutException.
            case SocketTimeoutException connectTimeout -> new HttpResult.NotSent(message);
            case NoRouteToHostException hostUnreachable -> new HttpResult.NotSent(message);
            case UnknownHostException hostUnknown -> new HttpResult.NotSent(message);
            default -> new HttpResult.Unconfirmed(message);
        };
    }
}
