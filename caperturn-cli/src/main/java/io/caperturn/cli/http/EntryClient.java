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

/** Client of entries. It follows no redirects and repeats nothing by itself. */
public final class EntryClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAXIMUM_REPLY_BYTES = 256 * 1024 * 1024;

    private final HttpClient client;

    private EntryClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Opens a client.
     *
     * @return the client
     * @throws IOException if it can't start
     */
    public static EntryClient open() throws IOException {
        HttpClient client = new HttpClient();
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception e) {
            throw new IOException("HTTP client did not start: " + e.getMessage(), e);
        }
        return new EntryClient(client);
    }

    /**
     * Sends a request without a body.
     *
     * @param method the method
     * @param uri where to, absolute
     * @param timeout longest wait for the whole reply
     * @return how it ended
     */
    public Exchange send(HttpMethod method, String uri, Duration timeout) {
        return exchange(client.newRequest(uri).method(method), timeout);
    }

    /**
     * Sends a request with a JSON body.
     *
     * @param method the method
     * @param uri where to, absolute
     * @param body the JSON text
     * @param headers further headers
     * @param timeout longest wait for the whole reply
     * @return how it ended
     */
    public Exchange send(HttpMethod method, String uri, String body, Map<String, String> headers, Duration timeout) {
        Request request =
                client.newRequest(uri).method(method).body(new StringRequestContent("application/json", body));
        headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
        return exchange(request, timeout);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client did not stop: " + e.getMessage(), e);
        }
    }

    private static Exchange exchange(Request request, Duration timeout) {
        Request bounded = request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .idleTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            ContentResponse response = new CompletableResponseListener(bounded, MAXIMUM_REPLY_BYTES)
                    .send()
                    .get();
            Optional<String> retryAfter =
                    Optional.ofNullable(response.getHeaders().get(HttpHeader.RETRY_AFTER));
            return new Exchange.Replied(response.getStatus(), response.getContentAsString(), retryAfter);
        } catch (ExecutionException e) {
            return failed(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Exchange.Lost("interrupted");
        }
    }

    private static Exchange failed(Throwable cause) {
        String text = cause.getClass().getSimpleName() + ": " + cause.getMessage();
        return switch (cause) {
            case ConnectException refused -> new Exchange.NotSent(text);
            case SocketTimeoutException silent -> new Exchange.NotSent(text);
            case NoRouteToHostException unreachable -> new Exchange.NotSent(text);
            case UnknownHostException unknown -> new Exchange.NotSent(text);
            default -> new Exchange.Lost(text);
        };
    }
}
