package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.SidecarSettings.UpstreamTreatment;
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
 * Runs tasks by HTTP.
 *
 * <p>An exchange is sent once: redirects, authentication and other answers that a client may follow by sending again
 * are taken as they come. An exchange that times out closes its connection, and no idle connection from before the
 * time-out is used again.
 */
public final class HttpUpstreamClient implements UpstreamClient {
    private static final System.Logger LOGGER = System.getLogger(HttpUpstreamClient.class.getName());
    private static final int MAXIMUM_THREADS = 8;
    private static final int RESERVED_THREADS = 0;
    private static final int MAXIMUM_RESULT_BYTES = 1024 * 1024;
    private static final long CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final long CANCEL_TIMEOUT_MILLISECONDS = 2_000;
    private static final int DELETE_CHARACTER = 127;
    private static final long IDLE_MARGIN_MILLISECONDS = 1_000;

    private final ExchangeClassifier classifier;
    private final HttpClient client;
    private final AtomicInteger generation = new AtomicInteger();
    private volatile Target target;

    /**
     * Creates the client.
     *
     * @param treatment how the upstream is treated
     */
    public HttpUpstreamClient(UpstreamTreatment treatment) {
        classifier = new ExchangeClassifier(treatment.notStartedStatuses());
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, 1);
        threads.setName("upstream");
        threads.setDaemon(true);
        threads.setReservedThreads(RESERVED_THREADS);
        client.setExecutor(threads);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS);
        client.setIdleTimeout(treatment.connectionIdleMilliseconds());
        client.setFollowRedirects(false);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
    }

    @Override
    public void start(ServiceRegistry kernel) throws ServiceStartException {
        try {
            client.start();
        } catch (Exception e) {
            throw new ServiceStartException("HTTP client did not start", e);
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
    public synchronized void follow(String address, int connections) {
        client.setMaxConnectionsPerDestination(connections);
        target = new Target(address, connections, generation.get());
    }

    @Override
    public void start(SidecarMachineCommand.StartRun run, Consumer<TaskOutcome> whenEnded) {
        Target current = target;
        if (current == null) {
            whenEnded.accept(classifier.classify(new ExchangeEnd.NoAddress(), Duration.ZERO));
            return;
        }
        long timeout = run.timeout().toMillis();
        Request request = client.newRequest("http://" + current.address() + "/v1/tasks")
                .method(HttpMethod.POST)
                .tag(current)
                .timeout(timeout, TimeUnit.MILLISECONDS)
                .idleTimeout(timeout + IDLE_MARGIN_MILLISECONDS, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(
                                "Caperturn-Submission",
                                headerOf(run.attempt().key().submission().toString()))
                        .put("Caperturn-Task", headerOf(run.attempt().key().task()))
                        .put("Caperturn-Attempt", numberOf(run.attempt()))
                        .put("Caperturn-Kind", headerOf(run.kind())))
                .body(new StringRequestContent("application/json", run.payload(), StandardCharsets.UTF_8));
        AtomicBoolean begun = new AtomicBoolean();
        long startedAt = System.nanoTime();
        request.onRequestBegin(ignored -> begun.set(true)).send(new BufferingResponseListener(MAXIMUM_RESULT_BYTES) {
            @Override
            public void onComplete(Result result) {
                ExchangeEnd end = result.isFailed()
                        ? endOf(result.getFailure(), begun.get())
                        : new ExchangeEnd.Answered(
                                result.getResponse().getStatus(), getContentAsString(StandardCharsets.UTF_8));
                if (end instanceof ExchangeEnd.TimedOut) {
                    distrust(current);
                }
                whenEnded.accept(classifier.classify(end, Duration.ofNanos(System.nanoTime() - startedAt)));
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
                numberOf(attempt),
                encode(attempt.key().submission().team()),
                encode(attempt.key().submission().key()),
                encode(attempt.key().task()));
        Request request = client.newRequest("http://" + current.address() + "/v1/tasks/" + path)
                .method(HttpMethod.DELETE)
                .tag(current)
                .timeout(CANCEL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        request.send(ignored -> {});
    }

    /** Leaves all connections that are older than a time-out: what made one silent may have made them all so. */
    private synchronized void distrust(Target timedOut) {
        if (!generation.compareAndSet(timedOut.generation(), timedOut.generation() + 1)) {
            return;
        }
        Target current = target;
        target = new Target(current.address(), current.connections(), generation.get());
        LOGGER.log(
                System.Logger.Level.WARNING,
                EventLine.of("upstream-connections-left")
                        .with("address", timedOut.address())
                        .with("reason", "time-out")
                        .toString());
    }

    /** Tells how a failed exchange ended; a connection counts as refused only if no byte was written. */
    static ExchangeEnd endOf(Throwable failure, boolean begun) {
        return switch (failure) {
            case ConnectException refused when !begun -> new ExchangeEnd.ConnectionRefused(refused.getMessage());
            case TimeoutException ignored -> new ExchangeEnd.TimedOut();
            case null -> new ExchangeEnd.Broken("unknown");
            default -> new ExchangeEnd.Broken(failure.toString());
        };
    }

    private static String numberOf(AttemptId attempt) {
        return attempt.fence() + "." + attempt.attempt();
    }

    /** Returns a value that a header can carry: percent-encoded wherever a character is not visible ASCII. */
    static String headerOf(String value) {
        boolean plain = value.chars().allMatch(c -> c > ' ' && c < DELETE_CHARACTER && c != '%');
        return plain ? value : encode(value).replace("%2F", "/");
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /**
     * Where runs go; connections to different targets are never shared.
     *
     * @param address the address as {@code host:port}
     * @param connections the most connections
     * @param generation how many time-outs went before
     */
    private record Target(String address, int connections, int generation) {}
}
