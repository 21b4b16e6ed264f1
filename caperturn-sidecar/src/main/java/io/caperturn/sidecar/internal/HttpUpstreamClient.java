package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.SidecarSettings.UpstreamSettings;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Runs tasks at the upstream by HTTP.
 *
 * <p>A request is sent only once, because a repeated one could run the task twice: a response that asks for another
 * request, such as a redirect or an authentication challenge, is classified as it is. An exchange that times out closes
 * its connection, and idle connections that were opened before the time-out are retired (not reused).
 *
 * <p>{@link #start(ServiceRegistry)} starts the client, {@link #start(SidecarMachineCommand.StartRun, Consumer)} one
 * attempt to run a task. The identity of an attempt holds the team and key of the submission, and the task's name
 * within the submission.
 */
public final class HttpUpstreamClient implements UpstreamClient {
    private static final System.Logger LOGGER = System.getLogger(HttpUpstreamClient.class.getName());
    private static final int MAXIMUM_THREADS = 8;
    private static final int RESERVED_THREADS = 0;
    private static final int MAXIMUM_RESPONSE_BYTES = 1024 * 1024;
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final long CANCEL_TIMEOUT_MILLISECONDS = 2_000;
    /** ASCII code of the control character DEL, which follows the last visible character. */
    private static final int DELETE_CHARACTER = 127;
    /** Time by which the idle time-out of a request exceeds its total time-out, so that the total one fires first. */
    private static final long IDLE_TIMEOUT_MARGIN_MILLISECONDS = 1_000;

    private final ExchangeClassifier classifier;
    private final HttpClient client;
    /** Number of times that connections were retired after a time-out. */
    private final AtomicInteger retirementCount = new AtomicInteger();
    /** Destination of new requests; null until an upstream has announced its address. */
    private volatile Target target;

    /**
     * Creates the client.
     *
     * @param upstreamSettings the settings of the upstream
     */
    public HttpUpstreamClient(UpstreamSettings upstreamSettings) {
        classifier = new ExchangeClassifier(upstreamSettings.notStartedStatuses());
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, /* minThreads= */ 1);
        threads.setName("upstream");
        threads.setDaemon(true);
        threads.setReservedThreads(RESERVED_THREADS);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS);
        client.setIdleTimeout(upstreamSettings.connectionIdleMilliseconds());
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
    }

    @Override
    public void start(ServiceRegistry services) throws ServiceStartException {
        try {
            client.start();
        } catch (Exception e) {
            throw new ServiceStartException("HTTP client for the upstream did not start", e);
        }
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
    }

    @Override
    public void stop() {
        try {
            client.stop();
        } catch (Exception e) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("upstream-client-stop-failed").toString(),
                    e);
        }
    }

    @Override
    public synchronized void updateTarget(String address, int connections) {
        client.setMaxConnectionsPerDestination(connections);
        target = new Target(address, connections, retirementCount.get());
    }

    @Override
    public void start(SidecarMachineCommand.StartRun run, Consumer<TaskOutcome> outcomeListener) {
        Target current = target;
        if (current == null) {
            outcomeListener.accept(classifier.classify(new ExchangeResult.AddressUnknown(), Duration.ZERO));
            return;
        }
        long timeoutMilliseconds = run.timeout().toMillis();
        Request request = client.newRequest("http://" + current.address() + "/v1/tasks")
                .method(HttpMethod.POST)
                .tag(current)
                .timeout(timeoutMilliseconds, TimeUnit.MILLISECONDS)
                .idleTimeout(timeoutMilliseconds + IDLE_TIMEOUT_MARGIN_MILLISECONDS, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(
                                "Caperturn-Submission",
                                encodeHeader(run.attempt().key().submission().toString()))
                        .put("Caperturn-Task", encodeHeader(run.attempt().key().task()))
                        .put("Caperturn-Attempt", formatAttempt(run.attempt()))
                        .put("Caperturn-Kind", encodeHeader(run.kind())))
                .body(new StringRequestContent("application/json", run.payload(), StandardCharsets.UTF_8));
        AtomicBoolean requestBegun = new AtomicBoolean();
        long startedAtNanoseconds = System.nanoTime();
        request.onRequestBegin(ignored -> requestBegun.set(true))
                .send(new BufferingResponseListener(MAXIMUM_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        ExchangeResult exchange = result.isFailed()
                                ? failureResult(result.getFailure(), requestBegun.get())
                                : new ExchangeResult.ResponseReceived(
                                        result.getResponse().getStatus(), getContentAsString(StandardCharsets.UTF_8));
                        if (exchange instanceof ExchangeResult.TimedOut) {
                            retireConnections(current);
                        }
                        outcomeListener.accept(classifier.classify(
                                exchange, Duration.ofNanos(System.nanoTime() - startedAtNanoseconds)));
                    }
                });
    }

    @Override
    public void cancel(AttemptId attempt) {
        Target current = target;
        if (current == null) {
            return;
        }
        String path = String.join(
                "/",
                formatAttempt(attempt),
                percentEncode(attempt.key().submission().team()),
                percentEncode(attempt.key().submission().key()),
                percentEncode(attempt.key().task()));
        Request request = client.newRequest("http://" + current.address() + "/v1/tasks/" + path)
                .method(HttpMethod.DELETE)
                .tag(current)
                .timeout(CANCEL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        request.send(ignored -> {});
    }

    /**
     * Stops the reuse of all connections of the target at which an exchange timed out, since the cause of the time-out
     * may affect them all. Does nothing if another time-out has retired them since the exchange began.
     */
    private synchronized void retireConnections(Target timedOut) {
        if (!retirementCount.compareAndSet(timedOut.retirementCount(), timedOut.retirementCount() + 1)) {
            return;
        }
        Target current = target;
        target = new Target(current.address(), current.connections(), retirementCount.get());
        LOGGER.log(
                System.Logger.Level.WARNING,
                EventLine.of("upstream-connections-left")
                        .with("address", timedOut.address())
                        .with("reason", "time-out")
                        .toString());
    }

    /**
     * Returns the result of a failed exchange.
     *
     * @param failure the cause of the failure, or null if unknown
     * @param requestBegun true if the client had begun to write the request; then a connect error does not prove that
     *     nothing was sent
     * @return the result
     */
    static ExchangeResult failureResult(Throwable failure, boolean requestBegun) {
        return switch (failure) {
            case ConnectException refused
            when !requestBegun -> new ExchangeResult.ConnectionRefused(refused.getMessage());
            case TimeoutException ignored -> new ExchangeResult.TimedOut();
            case null -> new ExchangeResult.ExchangeFailed("unknown");
            default -> new ExchangeResult.ExchangeFailed(failure.toString());
        };
    }

    /**
     * Formats the two numbers of an attempt, separated by a dot: the fencing token of the claim, and the number of the
     * attempt under that token. A claim is the durable row by which one process owns a submission.
     */
    private static String formatAttempt(AttemptId attempt) {
        return attempt.fence() + "." + attempt.attempt();
    }

    /**
     * Encodes a header value: unchanged if it consists of visible ASCII characters other than the per cent sign,
     * otherwise percent-encoded except for slashes.
     */
    static String encodeHeader(String value) {
        boolean isVisibleAscii = value.chars().allMatch(c -> c > ' ' && c < DELETE_CHARACTER && c != '%');
        return isVisibleAscii ? value : percentEncode(value).replace("%2F", "/");
    }

    private static String percentEncode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /**
     * Destination of requests, set as the tag of each request: the HTTP client reuses a connection only for requests
     * with an equal tag.
     *
     * @param address the address as {@code host:port}
     * @param connections the maximum number of connections
     * @param retirementCount the number of times that connections were retired after a time-out
     */
    private record Target(String address, int connections, int retirementCount) {}
}
