package io.caperturn.entry.observe;

import io.caperturn.core.entry.SubmissionLifecycleEvent;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Urgency;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Metrics of an entry process: histograms of waiting times of tasks and response times of submissions, refusals by
 * reason, messages by type. A late report, on an attempt that is no longer outstanding, counts as a wasted message.
 *
 * <p>The number of label values is limited: teams beyond {@link #MAXIMUM_TEAMS} share the label {@code other}.
 * Lifecycle events are recorded on the {@link EntryObserver}'s thread only; all other methods are thread-safe.
 */
public final class EntryMetrics {
    /** Maximum number of teams with a histogram of their own. */
    public static final int MAXIMUM_TEAMS = 800;

    /** Upper bounds of the histograms' buckets. */
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Timer waitingTimer = createTimer("caperturn_waiting", "urgency", "all");
    private final Map<Urgency, Timer> responseTimers = new HashMap<>();
    private final Map<String, Timer> teamResponseTimers = new HashMap<>();
    private final Set<String> labelledTeams = new HashSet<>();
    private final AtomicLong droppedEvents = new AtomicLong();

    /** Creates the metrics with nothing recorded. */
    public EntryMetrics() {
        registry.gauge("caperturn_occurrences_dropped", droppedEvents);
    }

    /**
     * Adds a gauge whose value is read at each scrape.
     *
     * @param name the name of the gauge
     * @param value returns the current value
     */
    public void addGauge(String name, Supplier<Number> value) {
        io.micrometer.core.instrument.Gauge.builder(name, value).register(registry);
    }

    /**
     * Records a lifecycle event of a submission, such as its admission or its answer.
     *
     * @param event the event
     */
    public void record(SubmissionLifecycleEvent event) {
        switch (event) {
            case SubmissionLifecycleEvent.Admitted admitted ->
                registry.counter("caperturn_admitted", "urgency", urgencyLabel(admitted.urgency()))
                        .increment();
            case SubmissionLifecycleEvent.Dispatched dispatched -> recordDispatch(dispatched);
            case SubmissionLifecycleEvent.AttemptEnded ended ->
                registry.counter("caperturn_attempts_ended", "outcome", ended.outcome())
                        .increment();
            case SubmissionLifecycleEvent.Answered answered -> recordAnswer(answered);
            case SubmissionLifecycleEvent.LateReportDropped ignored ->
                registry.counter("caperturn_messages_wasted", "type", "late-report")
                        .increment();
        }
    }

    /**
     * Counts a request or submission that was refused and of which nothing ran.
     *
     * @param reason the machine-readable cause, one of a fixed set of labels
     */
    public void countRefusal(String reason) {
        registry.counter("caperturn_refusals", "reason", reason).increment();
    }

    /**
     * Sets the number of lifecycle events dropped because the observer's queue was full.
     *
     * @param total the number since the start of the process
     */
    public void setDroppedEvents(long total) {
        droppedEvents.set(total);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String scrape() {
        return registry.scrape();
    }

    private void recordDispatch(SubmissionLifecycleEvent.Dispatched dispatched) {
        registry.counter("caperturn_messages", "type", "dispatch").increment();
        waitingTimer.record(dispatched.waited());
    }

    private void recordAnswer(SubmissionLifecycleEvent.Answered answered) {
        registry.counter(
                        "caperturn_answered",
                        "result",
                        answered.failure().map(FailureReason::name).orElse("COMPLETE"),
                        "execution",
                        answered.execution().label())
                .increment();
        responseTimers
                .computeIfAbsent(
                        answered.urgency(),
                        urgency -> createTimer("caperturn_response", "urgency", urgencyLabel(urgency)))
                .record(answered.elapsed());
        String team = teamLabel(answered.submission().team());
        teamResponseTimers
                .computeIfAbsent(team, name -> createTimer("caperturn_team_response", "team", name))
                .record(answered.elapsed());
    }

    private String teamLabel(String team) {
        if (labelledTeams.contains(team) || labelledTeams.size() < MAXIMUM_TEAMS) {
            labelledTeams.add(team);
            return team;
        }
        return "other";
    }

    private Timer createTimer(String name, String labelName, String labelValue) {
        return Timer.builder(name)
                .tag(labelName, labelValue)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    private static String urgencyLabel(Urgency urgency) {
        return urgency.name().toLowerCase(java.util.Locale.ROOT);
    }
}
