package io.caperturn.store.http;

import io.caperturn.store.PlatformStore;
import io.caperturn.store.Row;
import io.caperturn.store.StoreResult;
import io.caperturn.store.Transaction;
import io.caperturn.store.internal.Json;
import io.caperturn.store.internal.StoreMessage;
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
 * Store reached over HTTP and JSON.
 *
 * <p>A call that ends before its request began, as with a refused connection, wrote nothing. Connections are replaced
 * after a bounded age, and after a call that timed out all that were open then, so that a connection which went silent
 * serves no second call.
 */
public final class HttpPlatformStore implements PlatformStore {
    private static final int MAXIMUM_CONNECTIONS = 8;
    private static final int MAXIMUM_REPLY_BYTES = 32 * 1024 * 1024;
    private static final long CONNECTION_MAXIMUM_AGE_MILLISECONDS = 30_000;
    private static final long CONNECTION_IDLE_MILLISECONDS = 10_000;
    private static final String JSON_TYPE = "application/json";

    private final String base;
    private final Duration timeout;
    private final HttpClient client;

    /**
     * Creates the store and starts its client; no connection is made before the first call.
     *
     * @param address the service's {@code host:port}
     * @param timeout longest time of one call
     * @throws IllegalStateException if the client can't start
     */
    public HttpPlatformStore(String address, Duration timeout) {
        this.base = "http://" + address;
        this.timeout = timeout;
        this.client = new HttpClient();
        client.setName("platform-store");
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setConnectTimeout(timeout.toMillis());
        client.setIdleTimeout(Math.max(CONNECTION_IDLE_MILLISECONDS, 2 * timeout.toMillis()));
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
        client.getHttpClientTransport().setConnectionPoolFactory(destination -> {
            DistrustingConnectionPool pool = new DistrustingConnectionPool(destination, MAXIMUM_CONNECTIONS);
            pool.setMaxDuration(CONNECTION_MAXIMUM_AGE_MILLISECONDS);
            return pool;
        });
        start();
    }

    private void start() {
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("client of the platform's store did not start", e);
        }
    }

    @Override
    public StoreResult transact(Transaction transaction) {
        Request request = client.newRequest(base + "/v1/transact")
                .method(HttpMethod.POST)
                .body(new StringRequestContent(
                        JSON_TYPE, Json.write(StoreMessage.TransactRequest.of(transaction)), StandardCharsets.UTF_8));
        StoreResult result = call(request, transaction.reads().size());
        return transaction.writes().isEmpty() ? withoutDoubt(result) : result;
    }

    @Override
    public StoreResult scan(String table, String afterKey, int limit) {
        String path = base + "/v1/tables/" + encode(table) + "?limit=" + limit + "&after=" + encode(afterKey);
        return withoutDoubt(call(client.newRequest(path).method(HttpMethod.GET), -1));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("client of the platform's store did not stop", e);
        }
    }

    /** Sends a request; a negative number of rows accepts any number. */
    private StoreResult call(Request request, int expectedRows) {
        AtomicBoolean begun = new AtomicBoolean();
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS).onRequestBegin(ignored -> begun.set(true));
        try {
            ContentResponse response = new CompletableResponseListener(request, MAXIMUM_REPLY_BYTES)
                    .send()
                    .get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
            return judge(response, expectedRows);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            request.abort(e);
            return new StoreResult.Unknown("interrupted");
        } catch (TimeoutException e) {
            request.abort(e);
            distrustConnections();
            return new StoreResult.Unknown("no reply within " + timeout.toMillis() + " ms");
        } catch (ExecutionException e) {
            if (e.getCause() instanceof TimeoutException) {
                distrustConnections();
            }
            String detail = String.valueOf(e.getCause());
            return begun.get() ? new StoreResult.Unknown(detail) : new StoreResult.Unavailable(detail);
        }
    }

    private void distrustConnections() {
        for (Destination destination : client.getDestinations()) {
            if (destination.getConnectionPool() instanceof DistrustingConnectionPool pool) {
                pool.distrust();
            }
        }
    }

    private static StoreResult judge(ContentResponse response, int expectedRows) {
        return switch (response.getStatus()) {
            case HttpStatus.OK_200 ->
                rows(response)
                        .filter(rows -> expectedRows < 0 || rows.size() == expectedRows)
                        .<StoreResult>map(StoreResult.Committed::new)
                        .orElseGet(() -> new StoreResult.Unknown("unreadable reply with status 200"));
            case HttpStatus.CONFLICT_409 ->
                rows(response)
                        .<StoreResult>map(StoreResult.Conflict::new)
                        .orElseGet(() -> new StoreResult.Unknown("unreadable reply with status 409"));
            case HttpStatus.TOO_MANY_REQUESTS_429 -> new StoreResult.Limited("status 429");
            case HttpStatus.SERVICE_UNAVAILABLE_503 -> new StoreResult.Unavailable("status 503");
            default -> new StoreResult.Unknown("status " + response.getStatus());
        };
    }

    private static Optional<List<Row>> rows(ContentResponse response) {
        try {
            return Json.read(response.getContentAsString(), StoreMessage.RowsReply.class)
                    .map(StoreMessage.RowsReply::toRows);
        } catch (IllegalArgumentException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** Turns doubt about a call that writes nothing into what it is: no answer. */
    private static StoreResult withoutDoubt(StoreResult result) {
        return result instanceof StoreResult.Unknown(String detail) ? new StoreResult.Unavailable(detail) : result;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
