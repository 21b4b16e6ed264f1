package io.caperturn.sidecar.internal;

import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarLoad;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** Meters of a sidecar, scraped in Prometheus' text format. */
public final class SidecarMeters implements Service {
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofMillis(2_500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private volatile SidecarLoad load = new SidecarLoad(0, 0, 0, 0, false);

    @Override
    public void start(ServiceRegistry kernel) {
        gauge("caperturn.runs.running", "Attempts running at the upstream", SidecarLoad::running);
        gauge("caperturn.runs.queued", "Attempts waiting for a slot", SidecarLoad::queued);
        gauge("caperturn.ledger.lines", "Lines in the ledger", SidecarLoad::ledgerLines);
        gauge("caperturn.ledger.result.bytes", "Bytes of results in the ledger", SidecarLoad::resultBytes);
        gauge("caperturn.upstream.serving", "1 while new work is accepted", now -> now.serving() ? 1 : 0);
    }

    @Override
    public void stop() {
        registry.close();
    }

    /**
     * Registers a gauge.
     *
     * @param name its name
     * @param description what it shows
     * @param value source of its value
     */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /**
     * Takes note of what the machine holds.
     *
     * @param now the numbers of the moment
     */
    public void update(SidecarLoad now) {
        load = now;
    }

    /**
     * Returns what the machine held last.
     *
     * @return the numbers
     */
    public SidecarLoad load() {
        return load;
    }

    /**
     * Counts a run that ended.
     *
     * @param kind the kind of work
     * @param outcome how it ended
     */
    public void runEnded(String kind, TaskOutcome outcome) {
        String label = outcome instanceof TaskOutcome.Completed ? "completed" : "failed";
        Duration serviceTime = switch (outcome) {
            case TaskOutcome.Completed completed -> completed.serviceTime();
            case TaskOutcome.Failed failed -> failed.serviceTime();
        };
        Timer.builder("caperturn.run")
                .description("Service time at the upstream")
                .tag("kind", kind)
                .tag("outcome", label)
                .serviceLevelObjectives(BUCKETS)
                .register(registry)
                .record(serviceTime);
    }

    /**
     * Counts attempts that were refused or dropped before a start.
     *
     * @param reason why, in lower case
     */
    public void notStarted(String reason) {
        registry.counter("caperturn.attempts.not.started", "reason", reason).increment();
    }

    /**
     * Counts frames sent to entries.
     *
     * @param body the frame's body case in lower case
     */
    public void frameSent(String body) {
        registry.counter("caperturn.frames.sent", "body", body).increment();
    }

    /**
     * Writes all meters.
     *
     * @return Prometheus' text format
     */
    public String scrape() {
        return registry.scrape();
    }

    private void gauge(String name, String description, ToDoubleFunction<SidecarLoad> value) {
        Gauge.builder(name, this, meters -> value.applyAsDouble(meters.load))
                .description(description)
                .register(registry);
    }
}
