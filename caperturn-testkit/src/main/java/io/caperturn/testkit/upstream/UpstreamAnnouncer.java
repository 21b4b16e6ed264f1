package io.caperturn.testkit.upstream;

import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Announces the capacity and state of an upstream to its sidecar process, every second and after each change. */
final class UpstreamAnnouncer implements AutoCloseable {
    /** Time between announcements and time-out of each. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final UpstreamOptions options;
    private volatile HostAndPort advertisedAddress;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(INTERVAL)
            .build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("announcer").factory());
    private volatile HostAndPort sidecar;
    private volatile String state = "serving";

    UpstreamAnnouncer(UpstreamOptions options, HostAndPort advertisedAddress, HostAndPort sidecar) {
        this.options = options;
        this.advertisedAddress = advertisedAddress;
        this.sidecar = sidecar;
        timer.scheduleAtFixedRate(this::announce, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    void setSidecar(HostAndPort newSidecar) {
        sidecar = newSidecar;
        timer.execute(this::announce);
    }

    void setAdvertisedAddress(HostAndPort newAddress) {
        advertisedAddress = newAddress;
        timer.execute(this::announce);
    }

    void setState(String newState) {
        if (!newState.equals("serving") && !newState.equals("leaving")) {
            throw new IllegalArgumentException("state must be serving or leaving: " + newState);
        }
        state = newState;
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
        HostAndPort target = sidecar;
        if (target == null) {
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.uri("/v1/announcements"))
                .timeout(INTERVAL)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(announcementJson()))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    private String announcementJson() {
        return TestkitJson.object()
                .put("name", options.name())
                .put("slots", options.slots())
                .put("connections", options.connections())
                .put("worker", options.location().worker())
                .put("rack", options.location().rack())
                .put("availabilityZone", options.location().availabilityZone())
                .put("address", advertisedAddress.toString())
                .put("state", state)
                .set("kinds", TestkitJson.of(options.kinds()))
                .toString();
    }
}
