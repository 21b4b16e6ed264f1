package io.caperturn.testkit.upstream;

import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.Json;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Announces an upstream to its sidecar once a second and at every change. */
final class Announcer implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final UpstreamOptions options;
    private volatile Endpoint upstream;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(INTERVAL)
            .build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("announcer").factory());
    private volatile Endpoint sidecar;
    private volatile String state = "serving";

    Announcer(UpstreamOptions options, Endpoint upstream, Endpoint sidecar) {
        this.options = options;
        this.upstream = upstream;
        this.sidecar = sidecar;
        timer.scheduleAtFixedRate(this::announce, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    void sidecar(Endpoint changed) {
        sidecar = changed;
        timer.execute(this::announce);
    }

    void advertise(Endpoint changed) {
        upstream = changed;
        timer.execute(this::announce);
    }

    void state(String changed) {
        if (!changed.equals("serving") && !changed.equals("leaving")) {
            throw new IllegalArgumentException("state must be serving or leaving: " + changed);
        }
        state = changed;
        timer.execute(this::announce);
    }

    String state() {
        return state;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void announce() {
        Endpoint target = sidecar;
        if (target == null) {
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.uri("/v1/announcements"))
                .timeout(INTERVAL)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(announcement()))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    private String announcement() {
        return Json.object()
                .put("name", options.name())
                .put("slots", options.slots())
                .put("connections", options.connections())
                .put("worker", options.place().worker())
                .put("rack", options.place().rack())
                .put("availabilityZone", options.place().availabilityZone())
                .put("address", upstream.toString())
                .put("state", state)
                .set("kinds", Json.of(options.kinds()))
                .toString();
    }
}
