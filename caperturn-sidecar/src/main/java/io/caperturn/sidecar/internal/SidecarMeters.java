package io.caperturn.sidecar.internal;

import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarLoad;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceRegistry;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Metrics of a sidecar process, in the text format of Prometheus.
 *
 * <p>The ledger is the sidecar's record of attempts and their results.
 */
public final class SidecarMeters implements Service {
    /** Upper bounds of the buckets of the service time histogram. */
    private static final Duration[] SERVICE_TIME_BUCKETS = {
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
    private volatile SidecarLoad load = new SidecarLoad(
            /* running= */ 0, /* queued= */ 0, /* ledgerLines= */ 0, /* resultBytes= */ 0, /* serving= */ false);

    @Override
    public void start(ServiceRegistry services) {
        gauge("caperturn.runs.running", "Attempts running at the upstream", SidecarLoad::running);
        gauge("caperturn.runs.queued", "Attempts waiting for a slot", SidecarLoad::queued);
        gauge("caperturn.ledger.lines", "Lines in the ledger", SidecarLoad::ledgerLines);
        gauge("caperturn.ledger.result.bytes", "Bytes of results in the ledger", SidecarLoad::resultBytes);
        gauge("caperturn.upstream.serving", "1 while new work is accepted", current -> current.serving() ? 1 : 0);
    }

    @Override
    public void stop() {
        registry.close();
    }

    /**
     * Registers a gauge.
     *
     * @param name the name of the gauge
     * @param description a short description for the metrics page
     * @param value the supplier of the value
     */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /**
     * Sets the load that the gauges show.
     *
     * @param newLoad the present load of the sidecar
     */
    public void updateLoad(SidecarLoad newLoad) {
        load = newLoad;
    }

    /**
     * Returns the load that was set last.
     *
     * @return the load
     */
    public SidecarLoad load() {
        return load;
    }

    /**
     * Records the service time of a finished run.
     *
     * @param kind the kind of task
     * @param outcome the outcome of the run
     */
    public void recordRun(String kind, TaskOutcome outcome) {
        String outcomeLabel = outcome instanceof TaskOutcome.Completed ? "completed" : "failed";
        Duration serviceTime = switch (outcome) {
            case TaskOutcome.Completed completed -> completed.serviceTime();
            case TaskOutcome.Failed failed -> failed.serviceTime();
        };
        Timer.builder("caperturn.run")
                .description("Service time at the upstream")
                .tag("kind", kind)
                .tag("outcome", outcomeLabel)
                .serviceLevelObjectives(SERVICE_TIME_BUCKETS)
                .register(registry)
                .record(serviceTime);
    }

    /**
     * Counts an attempt that was refused or dropped before it was started.
     *
     * @param reason the reason, in lower case
     */
    public void countNotStarted(String reason) {
        registry.counter("caperturn.attempts.not.started", "reason", reason).increment();
    }

    /**
     * Counts a frame that was sent to an entry process.
     *
     * @param body the field name of the frame's body, such as {@code report_batch}
     */
    public void countFrameSent(String body) {
        registry.counter("caperturn.frames.sent", "body", body).increment();
    }

    /**
     * Returns the present values of all metrics.
     *
     * @return the values in the text format of Prometheus
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
