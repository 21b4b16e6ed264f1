package io.caperturn.store.http;

import io.caperturn.store.PlatformStore;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.internal.StoreHttpMessage;
import io.caperturn.store.internal.StoreJson;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Client of the platform's table service over HTTP and JSON.
 *
 * <p>A call that fails before its request is sent, for example because the connection is refused, has written nothing.
 * Connections are replaced after a maximum age. All connections that are open when a call times out serve no further
 * call, because they have often stopped responding, too.
 */
public final class HttpPlatformStore implements PlatformStore {
    private static final int MAXIMUM_CONNECTIONS = 8;
    private static final int MAXIMUM_REPLY_BYTES = 32 * 1024 * 1024;
    private static final long CONNECTION_MAXIMUM_AGE_MILLISECONDS = 30_000;
    private static final long MINIMUM_IDLE_TIMEOUT_MILLISECONDS = 10_000;
    private static final String JSON_MEDIA_TYPE = "application/json";

    private final String baseUrl;
    private final Duration timeout;
    private final HttpClient client;

    /**
     * Creates the store client and starts the HTTP client that it uses; no connection is opened before the first call.
     *
     * @param address the address of the service, {@code host:port}
     * @param timeout the maximum duration of a call
     * @throws IllegalStateException if the HTTP client does not start
     */
    public HttpPlatformStore(String address, Duration timeout) {
        this.baseUrl = "http://" + address;
        this.timeout = timeout;
        this.client = new HttpClient();
        client.setName("platform-store");
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setConnectTimeout(timeout.toMillis());
        client.setIdleTimeout(Math.max(MINIMUM_IDLE_TIMEOUT_MILLISECONDS, 2 * timeout.toMillis()));
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
        client.getHttpClientTransport().setConnectionPoolFactory(destination -> {
            RetiringConnectionPool pool = new RetiringConnectionPool(destination, MAXIMUM_CONNECTIONS);
            pool.setMaxDuration(CONNECTION_MAXIMUM_AGE_MILLISECONDS);
            return pool;
        });
        startClient();
    }

    private void startClient() {
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client of the platform's store did not start", e);
        }
    }

    @Override
    public StoreResult transact(Transaction transaction) {
        Request request = client.newRequest(baseUrl + "/v1/transact")
                .method(HttpMethod.POST)
                .body(new StringRequestContent(
                        JSON_MEDIA_TYPE,
                        StoreJson.write(StoreHttpMessage.TransactRequest.of(transaction)),
                        StandardCharsets.UTF_8));
        StoreResult result = sendAndWait(request, transaction.reads().size());
        return transaction.writes().isEmpty() ? mapUnknownToUnavailable(result) : result;
    }

    @Override
    public StoreResult scan(String table, String afterKey, int limit) {
        String url =
                baseUrl + "/v1/tables/" + encodeForUrl(table) + "?limit=" + limit + "&after=" + encodeForUrl(afterKey);
        // A page can have any number of rows.
        return mapUnknownToUnavailable(
                sendAndWait(client.newRequest(url).method(HttpMethod.GET), /* expectedRows= */ -1));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client of the platform's store did not stop", e);
        }
    }

    /** Sends a request and waits for its reply; a negative {@code expectedRows} accepts any number of rows. */
    private StoreResult sendAndWait(Request request, int expectedRows) {
        AtomicBoolean requestBegun = new AtomicBoolean();
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS).onRequestBegin(ignored -> requestBegun.set(true));
        try {
            // The request's own time-out normally ends the call; this longer wait is a safeguard.
            ContentResponse response = new CompletableResponseListener(request, MAXIMUM_REPLY_BYTES)
                    .send()
                    .get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
            return toResult(response, expectedRows);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            request.abort(e);
            return new StoreResult.Unknown("interrupted");
        } catch (TimeoutException e) {
            request.abort(e);
            retireConnections();
            return new StoreResult.Unknown("no reply within " + timeout.toMillis() + " ms");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof TimeoutException) {
                retireConnections();
            }
            String detail = String.valueOf(e.getCause());
            return requestBegun.get() ? new StoreResult.Unknown(detail) : new StoreResult.Unavailable(detail);
        }
    }

    private void retireConnections() {
        for (Destination destination : client.getDestinations()) {
            if (destination.getConnectionPool() instanceof RetiringConnectionPool pool) {
                pool.retireOpenConnections();
            }
        }
    }

    private static StoreResult toResult(ContentResponse response, int expectedRows) {
        return switch (response.getStatus()) {
            case HttpStatus.OK_200 ->
                parseRows(response)
                        .filter(rows -> expectedRows < 0 || rows.size() == expectedRows)
                        .<StoreResult>map(StoreResult.Committed::new)
                        .orElseGet(() -> new StoreResult.Unknown("unreadable reply with status 200"));
            case HttpStatus.CONFLICT_409 ->
                parseRows(response)
                        .<StoreResult>map(StoreResult.Conflict::new)
                        .orElseGet(() -> new StoreResult.Unknown("unreadable reply with status 409"));
            case HttpStatus.TOO_MANY_REQUESTS_429 -> new StoreResult.RateLimited("status 429");
            case HttpStatus.SERVICE_UNAVAILABLE_503 -> new StoreResult.Unavailable("status 503");
            default -> new StoreResult.Unknown("status " + response.getStatus());
        };
    }

    private static Optional<List<StoreRow>> parseRows(ContentResponse response) {
        try {
            return StoreJson.read(response.getContentAsString(), StoreHttpMessage.RowsReply.class)
                    .map(StoreHttpMessage.RowsReply::toRows);
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** Maps an unknown result to {@link StoreResult.Unavailable}, as a call without writes can't have changed a row. */
    private static StoreResult mapUnknownToUnavailable(StoreResult result) {
        return result instanceof StoreResult.Unknown(String detail) ? new StoreResult.Unavailable(detail) : result;
    }

    private static String encodeForUrl(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
