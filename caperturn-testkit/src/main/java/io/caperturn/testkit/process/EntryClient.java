package io.caperturn.testkit.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.Json;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Client of entries and of the stand-ins' controls, over HTTP. */
public final class EntryClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PLAIN_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration ANSWER_GRACE = Duration.ofSeconds(2);

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
     * @return its answer; never completes exceptionally
     */
    public CompletableFuture<ClientAnswer> submitJob(Endpoint entry, Submission submission) {
        return submit(entry, "/v1/jobs", submission, submission.toJob());
    }

    /**
     * Submits a job again and says so.
     *
     * @param entry the entry's HTTP address
     * @param submission the job, which may have been submitted before
     * @return its answer; never completes exceptionally
     */
    public CompletableFuture<ClientAnswer> resubmitJob(Endpoint entry, Submission submission) {
        Map<String, String> headers = Map.of("Idempotency-Key", submission.key(), "Caperturn-Resubmission", "true");
        return submit(entry, "/v1/jobs", submission, submission.toJob(), headers);
    }

    /**
     * Submits a single request.
     *
     * @param entry the entry's HTTP address
     * @param submission the request, of one task
     * @param idempotent whether it may be run again
     * @return its answer; never completes exceptionally
     */
    public CompletableFuture<ClientAnswer> submitRequest(Endpoint entry, Submission submission, boolean idempotent) {
        return submit(entry, "/v1/requests", submission, submission.toRequest(idempotent));
    }

    /**
     * Exchanges any request and waits for its end.
     *
     * @param method the HTTP method
     * @param server the server's address
     * @param path the path with its query
     * @param headers the request's headers
     * @param body the request's JSON; null for none
     * @return its answer
     */
    public ClientAnswer exchange(
            String method, Endpoint server, String path, Map<String, String> headers, JsonNode body) {
        return send(method, server, path, headers, body, PLAIN_TIMEOUT).join();
    }

    /**
     * Posts to the control of a stand-in and waits for the change.
     *
     * @param standIn the control's address
     * @param changes the members to change
     * @return the state afterwards
     * @throws AssertionError if the stand-in did not accept it
     */
    public JsonNode control(Endpoint standIn, Map<String, ?> changes) {
        ClientAnswer answer = exchange("POST", standIn, "/control", Map.of(), Json.of(changes));
        if (!answer.isComplete()) {
            throw new AssertionError("control of " + standIn + " answered " + answer);
        }
        return answer.body();
    }

    @Override
    public void close() {
        client.shutdownNow();
        threads.shutdownNow();
    }

    private CompletableFuture<ClientAnswer> submit(Endpoint entry, String path, Submission submission, JsonNode body) {
        return submit(entry, path, submission, body, Map.of("Idempotency-Key", submission.key()));
    }

    private CompletableFuture<ClientAnswer> submit(
            Endpoint entry, String path, Submission submission, JsonNode body, Map<String, String> headers) {
        Duration timeout = Duration.ofMillis(submission.deadlineMilliseconds()).plus(ANSWER_GRACE);
        return send("POST", entry, path, headers, body, timeout);
    }

    private CompletableFuture<ClientAnswer> send(
            String method, Endpoint server, String path, Map<String, String> headers, JsonNode body, Duration timeout) {
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
        long begun = System.nanoTime();
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> {
                    Duration took = Duration.ofNanos(System.nanoTime() - begun);
                    return response == null
                            ? new ClientAnswer(0, Map.of(), Json.object(), took, String.valueOf(failure))
                            : answer(response, took);
                });
    }

    private static ClientAnswer answer(HttpResponse<String> response, Duration took) {
        Map<String, String> headers = new HashMap<>();
        response.headers().map().forEach((name, values) -> headers.put(name, values.get(0)));
        boolean json = headers.getOrDefault("content-type", "").contains("json");
        JsonNode body = json ? Json.parse(response.body()) : Json.object().put("text", response.body());
        return new ClientAnswer(response.statusCode(), headers, body, took, "");
    }
}
