package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP client for entries (processes that accept submissions) and for the {@code /control} paths of stand-ins. */
public final class TestClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(10);
    /** Time after the deadline for which the client still waits for the response. */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(2);

    private final ExecutorService threads = Executors.newCachedThreadPool(
            Thread.ofPlatform().daemon().name("client-", 0).factory());
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(threads)
            .build();

    /**
     * Submits a job.
     *
     * @param entry the entry's HTTP address
     * @param submission the job
     * @return the response; never completes exceptionally
     */
    public CompletableFuture<ClientResponse> submitJob(HostAndPort entry, ClientSubmission submission) {
        return submit(entry, "/v1/jobs", submission, submission.toJob());
    }

    /**
     * Submits a job with the header that declares it a resubmission.
     *
     * @param entry the entry's HTTP address
     * @param submission the job, which may have been submitted before
     * @return the response; never completes exceptionally
     */
    public CompletableFuture<ClientResponse> resubmitJob(HostAndPort entry, ClientSubmission submission) {
        Map<String, String> headers = Map.of("Idempotency-Key", submission.key(), "Caperturn-Resubmission", "true");
        return submit(entry, "/v1/jobs", submission, submission.toJob(), headers);
    }

    /**
     * Submits a request, which has a single task.
     *
     * @param entry the entry's HTTP address
     * @param submission the request
     * @param idempotent whether the task is allowed to run more than once
     * @return the response; never completes exceptionally
     */
    public CompletableFuture<ClientResponse> submitRequest(
            HostAndPort entry, ClientSubmission submission, boolean idempotent) {
        return submit(entry, "/v1/requests", submission, submission.toRequest(idempotent));
    }

    /**
     * Sends an HTTP request and waits for the response.
     *
     * @param method the HTTP method
     * @param server the server's address
     * @param path the path and query
     * @param headers the request headers
     * @param body the JSON body; null for none
     * @return the response or the reason for its absence
     */
    public ClientResponse exchange(
            String method, HostAndPort server, String path, Map<String, String> headers, JsonNode body) {
        return send(method, server, path, headers, body, EXCHANGE_TIMEOUT).join();
    }

    /**
     * Changes the behaviour of a stand-in by {@code POST /control} and waits until the change has taken effect.
     *
     * @param standIn the address that serves {@code /control}
     * @param changes the new values, by name
     * @return the state after the change, as JSON
     * @throws AssertionError if the stand-in does not accept the change
     */
    public JsonNode postControl(HostAndPort standIn, Map<String, ?> changes) {
        ClientResponse response = exchange("POST", standIn, "/control", Map.of(), TestkitJson.of(changes));
        if (!response.isSuccessful()) {
            throw new AssertionError("control of " + standIn + " answered " + response);
        }
        return response.body();
    }

    @Override
    public void close() {
        client.shutdownNow();
        threads.shutdownNow();
    }

    private CompletableFuture<ClientResponse> submit(
            HostAndPort entry, String path, ClientSubmission submission, JsonNode body) {
        return submit(entry, path, submission, body, Map.of("Idempotency-Key", submission.key()));
    }

    private CompletableFuture<ClientResponse> submit(
            HostAndPort entry, String path, ClientSubmission submission, JsonNode body, Map<String, String> headers) {
        Duration timeout = Duration.ofMillis(submission.deadlineMilliseconds()).plus(RESPONSE_GRACE);
        return send("POST", entry, path, headers, body, timeout);
    }

    private CompletableFuture<ClientResponse> send(
            String method,
            HostAndPort server,
            String path,
            Map<String, String> headers,
            JsonNode body,
            Duration timeout) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(server.uri(path))
                .timeout(timeout)
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body.toString()));
        if (body != null) {
            builder.header("Content-Type", "application/json");
        }
        headers.forEach(builder::header);
        long startNanoseconds = System.nanoTime();
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> {
                    Duration duration = Duration.ofNanos(System.nanoTime() - startNanoseconds);
                    return response == null
                            ? new ClientResponse(0, Map.of(), TestkitJson.object(), duration, String.valueOf(failure))
                            : toClientResponse(response, duration);
                });
    }

    private static ClientResponse toClientResponse(HttpResponse<String> response, Duration duration) {
        Map<String, String> headers = new HashMap<>();
        response.headers().map().forEach((name, values) -> headers.put(name, values.get(0)));
        boolean isJson = headers.getOrDefault("content-type", "").contains("json");
        JsonNode body = isJson
                ? TestkitJson.parse(response.body())
                : TestkitJson.object().put("text", response.body());
        return new ClientResponse(response.statusCode(), headers, body, duration, "");
    }
}
