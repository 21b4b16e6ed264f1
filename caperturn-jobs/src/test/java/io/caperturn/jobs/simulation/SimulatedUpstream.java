package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamAnnouncement;
import io.caperturn.jobs.upstream.UpstreamPort;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;
import java.util.function.ToLongFunction;

/**
 * Simulated upstream that handles leases, fencing tokens and completions as real upstreams do.
 *
 * <p>A hold is a request that extends the lease, acknowledges completions, and waits for further ones.
 */
final class SimulatedUpstream {
    private static final long MAX_RUN_LEASE_MILLISECONDS = 1_000;
    /** Maximum number of completions in one listing. */
    private static final int MAX_LISTED_COMPLETIONS = 500;

    /** Sixteen cores, 32 GiB of memory, and no accelerators. */
    static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    /** Speed of the upstream's clock in percent of true time; a clock may be two percent slow. */
    private static final long CLOCK_PERCENT = 98;
    /** Time from the start of a run of a crashing task until the upstream crashes. */
    private static final long CRASH_DELAY_MILLISECONDS = 10;
    /** Time from a crash until the upstream has started again. */
    private static final long CRASH_DOWNTIME_MILLISECONDS = 3_200;

    private final VirtualTime time;
    private final String identity;
    private final StartRecord startRecord;
    private final ToLongFunction<TaskIdentity> taskDurations;
    private final Map<RunIdentity, Long> startTimesOfActiveRuns = new LinkedHashMap<>();
    private final TreeMap<Long, UpstreamPort.Completion> completions = new TreeMap<>();
    /** Virtual times of unacknowledged completions, by their numbers; cleared when the lease expires. */
    private final Map<Long, Long> completionTimesWithinLease = new HashMap<>();

    private final Map<TaskIdentity, Integer> highestRunNumbers = new HashMap<>();
    private final List<PendingHold> pendingHolds = new ArrayList<>();
    private String service = "service";
    private List<String> labels = List.of("a", "rack");
    /** Virtual time of the last start, plus 1, because 0 would mean that it is unknown. */
    private long incarnationStartedAt;

    private long lastAnnouncementNumber;
    private long highestFencingToken;
    /** Expiry of the lease of all active runs, on this upstream's clock. */
    private long leaseExpiresAt;

    private long lastCompletionNumber;
    /** Number of restarts; timers that were set before a restart have no effect. */
    private long restartCount;

    private final UnansweredOrders unansweredOrders = new UnansweredOrders();
    private boolean nextRunsStall;
    private boolean refusingConnections;
    private boolean down;
    private int holdCount;
    private double speedFactor = 1;
    /** Runs that slow each other down; null if runs take as long as alone. */
    private InterferingRuns interferingRuns;

    private final Map<RunIdentity, Long> runDurationsMilliseconds = new HashMap<>();
    /** Tasks that crash the upstream whenever they start. */
    private Predicate<TaskIdentity> crashingTasks = task -> false;

    private CrashMode crashMode = CrashMode.AFTER_START;

    /** Resources of the upstream, as announced. */
    private Resources capacity = CAPACITY;
    /** Virtual time until which the upstream announces that it is cold, in milliseconds. */
    private long coldUntil;

    /** Outcomes of runs that are not ended otherwise, decided at their start. */
    private Function<RunIdentity, RunOutcome> outcomes = run -> RunOutcome.DONE;

    SimulatedUpstream(
            VirtualTime time, String identity, StartRecord record, ToLongFunction<TaskIdentity> taskDurations) {
        this.time = time;
        this.identity = identity;
        this.startRecord = record;
        this.taskDurations = taskDurations;
        this.incarnationStartedAt = 1 + time.now();
    }

    /** Hold that waits for a completion. */
    interface PendingHold {
        void answer();

        /** Closes the connection without an answer. */
        void close();
    }

    /** Makes the upstream crash shortly after each start of a run of certain tasks. */
    void setCrashingTasks(Predicate<TaskIdentity> tasks) {
        crashingTasks = tasks;
    }

    void setCrashMode(CrashMode mode) {
        crashMode = mode;
    }

    /** Sets the capacity, from the next announcement on. */
    void setCapacity(Resources newCapacity) {
        capacity = newCapacity;
    }

    /** Stops the upstream, which refuses connections until it has started again after some seconds. */
    void crash() {
        crash(CRASH_DOWNTIME_MILLISECONDS);
    }

    /** Stops the upstream, which refuses connections for a time in milliseconds, until it has started again. */
    void crash(long downtimeMilliseconds) {
        startTimesOfActiveRuns.keySet().forEach(run -> startRecord.recordCrash(run.task()));
        restart();
        down = true;
        if (crashMode != CrashMode.SILENT) {
            List<PendingHold> closed = List.copyOf(pendingHolds);
            closed.forEach(PendingHold::close);
        }
        pendingHolds.clear();
        time.after(downtimeMilliseconds, () -> {
            down = false;
            incarnationStartedAt = 1 + time.now();
        });
    }

    /** Restarts the upstream under the same name, without any state. */
    void restart() {
        startTimesOfActiveRuns.keySet().forEach(startRecord::recordCompletion);
        startTimesOfActiveRuns.clear();
        completions.clear();
        completionTimesWithinLease.clear();
        highestRunNumbers.clear();
        highestFencingToken = 0;
        lastAnnouncementNumber = 0;
        lastCompletionNumber = 0;
        leaseExpiresAt = 0;
        restartCount++;
        incarnationStartedAt = 1 + time.now();
    }

    /** Returns the orders that are left unanswered, none at first. */
    UnansweredOrders unansweredOrders() {
        return unansweredOrders;
    }

    /** Sets whether connections are refused. */
    void refuseConnections(boolean refuse) {
        refusingConnections = refuse;
    }

    /** Returns the number of hold requests received. */
    int holdCount() {
        return holdCount;
    }

    /** Sets the factor by which the next runs are faster than the usual duration of their tasks. */
    void setSpeedFactor(double factor) {
        speedFactor = factor;
    }

    /** Makes the next runs slow each other down, by a factor for a task and all active runs. */
    void setSlowdown(ToDoubleBiFunction<TaskIdentity, Collection<RunIdentity>> slowdown) {
        interferingRuns = new InterferingRuns(time, slowdown);
    }

    private long durationOf(TaskIdentity task) {
        return Math.round(taskDurations.applyAsLong(task) / speedFactor);
    }

    /** Makes the upstream announce that it is cold, for a time in milliseconds from now. */
    void announceCold(long milliseconds) {
        coldUntil = time.now() + milliseconds;
    }

    /** Sets whether the next runs make no progress and never complete. */
    void setNextRunsStall(boolean stall) {
        nextRunsStall = stall;
    }

    /** Sets the outcome of each of the next runs. */
    void setOutcomes(Function<RunIdentity, RunOutcome> newOutcomes) {
        outcomes = newOutcomes;
    }

    /** Sets the service and labels, from the next announcement on. */
    void setDescription(String newService, List<String> newLabels) {
        service = newService;
        labels = newLabels;
    }

    String identity() {
        return identity;
    }

    Set<RunIdentity> activeRuns() {
        return startTimesOfActiveRuns.keySet();
    }

    int activeRunCount() {
        return startTimesOfActiveRuns.size();
    }

    UpstreamAnnouncement announcement() {
        return new UpstreamAnnouncement(
                description(), ++lastAnnouncementNumber, /* leaving= */ false, Math.max(0, coldUntil - time.now()));
    }

    UpstreamIncarnation description() {
        return new UpstreamIncarnation(identity, incarnationStartedAt, service, capacity, labels);
    }

    /** Returns the port to this upstream for a sidecar process with an event loop. */
    UpstreamPort portFor(VirtualLoop loop) {
        return new SimulatedUpstreamPort(this, time, loop);
    }

    long clock() {
        return (time.now() - incarnationStartedAt) * CLOCK_PERCENT / 100;
    }

    private void extendLease(long until) {
        leaseExpiresAt = Math.max(leaseExpiresAt, Math.min(until, clock() + MAX_RUN_LEASE_MILLISECONDS));
        long restartCountAtStart = restartCount;
        // 2 ms are added because the clock rounds down and the last millisecond still belongs to the lease.
        time.after(Math.max(0, leaseExpiresAt - clock()) * 100 / CLOCK_PERCENT + 2, () -> {
            if (restartCount == restartCountAtStart && clock() > leaseExpiresAt) {
                completionTimesWithinLease.clear();
                List.copyOf(startTimesOfActiveRuns.keySet()).forEach(run -> complete(run, RunOutcome.LAPSED));
            }
        });
    }

    private void complete(RunIdentity run, RunOutcome outcome) {
        if (startTimesOfActiveRuns.remove(run) != null) {
            if (interferingRuns != null) {
                interferingRuns.remove(run);
            }
            startRecord.recordCompletion(run);
            if (outcome == RunOutcome.DONE) {
                startRecord.recordSuccess(run);
            }
            lastCompletionNumber++;
            completions.put(lastCompletionNumber, new UpstreamPort.Completion(lastCompletionNumber, run, outcome));
            completionTimesWithinLease.put(lastCompletionNumber, time.now());
            List<PendingHold> notified = List.copyOf(pendingHolds);
            pendingHolds.clear();
            notified.forEach(PendingHold::answer);
        }
    }

    private void acknowledge(long number) {
        Map<Long, UpstreamPort.Completion> acknowledgedCompletions = completions.headMap(number, true);
        acknowledgedCompletions.values().forEach(completion -> {
            Long completedAt = completionTimesWithinLease.remove(completion.number());
            if (completedAt != null && completion.outcome() == RunOutcome.DONE) {
                startRecord.recordAcknowledgement(completion.run(), completedAt);
            }
        });
        acknowledgedCompletions.clear();
    }

    UpstreamPort.Answer doStart(RunIdentity run, UpstreamPort.Order order) {
        if (!order.identity().isEmpty() && !order.identity().equals(identity)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OTHER_INSTANCE, clock());
        }
        if (order.fenceToken() < highestFencingToken) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        highestFencingToken = order.fenceToken();
        if (order.leaseExpiryMilliseconds() <= clock()) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.LATE, clock());
        }
        extendLease(order.leaseExpiryMilliseconds());
        if (startTimesOfActiveRuns.containsKey(run)) {
            return new UpstreamPort.Answer.Accepted(clock());
        }
        if (run.number() <= highestRunNumbers.getOrDefault(run.task(), 0)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OLD, clock());
        }
        highestRunNumbers.put(run.task(), run.number());
        startTimesOfActiveRuns.put(run, time.now());
        startRecord.recordStart(run, identity, time.now());
        RunOutcome outcome = outcomes.apply(run);
        long restartCountAtStart = restartCount;
        if (crashingTasks.test(run.task())) {
            crashSoon();
        }
        boolean stalled = nextRunsStall;
        // A stalled run always reports a progress of 0 percent.
        runDurationsMilliseconds.put(run, stalled ? Long.MAX_VALUE / 200 : durationOf(run.task()));
        Runnable end = () -> {
            if (restartCount == restartCountAtStart && !stalled) {
                complete(run, outcome);
            }
        };
        if (interferingRuns == null) {
            time.after(durationOf(run.task()), end);
        } else {
            interferingRuns.start(run, durationOf(run.task()), end);
        }
        return new UpstreamPort.Answer.Accepted(clock());
    }

    private void crashSoon() {
        if (crashMode == CrashMode.BEFORE_ANSWER) {
            crash();
            return;
        }
        long restartCountAtStart = restartCount;
        time.after(CRASH_DELAY_MILLISECONDS, () -> {
            if (restartCount == restartCountAtStart) {
                crash();
            }
        });
    }

    UpstreamPort.Answer doStop(RunIdentity run, UpstreamPort.Order order) {
        if (order.fenceToken() < highestFencingToken) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        highestFencingToken = order.fenceToken();
        highestRunNumbers.merge(run.task(), run.number(), Math::max);
        complete(run, RunOutcome.STOPPED);
        return new UpstreamPort.Answer.Accepted(clock());
    }

    /** Executes a hold whose answer nobody waits for any more. */
    void extendLeaseLate(UpstreamPort.Order order, long acknowledged) {
        if (order.fenceToken() >= highestFencingToken) {
            highestFencingToken = order.fenceToken();
            acknowledge(acknowledged);
            if (order.leaseExpiryMilliseconds() > 0) {
                extendLease(order.leaseExpiryMilliseconds());
            }
        }
    }

    /** Executes a hold; returns the refusal, or empty if it is to be answered with a listing. */
    Optional<UpstreamPort.Answer> doHold(UpstreamPort.Order order, long acknowledged) {
        if (order.fenceToken() < highestFencingToken) {
            return Optional.of(new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock()));
        }
        highestFencingToken = order.fenceToken();
        acknowledge(acknowledged);
        if (order.leaseExpiryMilliseconds() > 0) {
            extendLease(order.leaseExpiryMilliseconds());
        }
        return Optional.empty();
    }

    void recordHold() {
        holdCount++;
    }

    boolean isRefusingConnections() {
        return down && crashMode != CrashMode.SILENT || refusingConnections;
    }

    /** Returns whether the upstream has crashed and not started again. */
    boolean isDown() {
        return down;
    }

    boolean hasCompletions() {
        return !completions.isEmpty();
    }

    void addPendingHold(PendingHold hold) {
        pendingHolds.add(hold);
    }

    UpstreamPort.Answer.Listing listing() {
        List<UpstreamPort.Running> running = startTimesOfActiveRuns.keySet().stream()
                .map(run -> new UpstreamPort.Running(
                        run, 100 * (time.now() - startTimesOfActiveRuns.get(run)) / runDurationsMilliseconds.get(run)))
                .toList();
        List<UpstreamPort.Completion> listed =
                completions.values().stream().limit(MAX_LISTED_COMPLETIONS).toList();
        return new UpstreamPort.Answer.Listing(
                clock(), incarnationStartedAt, identity, running, listed, listed.size() < MAX_LISTED_COMPLETIONS);
    }
}
