package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamAnnouncement;
import io.caperturn.jobs.upstream.UpstreamPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/**
 * Simulated upstream that handles leases, fencing tokens and completions as the platform's executors do.
 *
 * <p>A hold is a request that extends the lease, acknowledges completions, and waits for further ones.
 */
final class SimulatedUpstream {
    private static final long MAX_LEASE_MILLISECONDS = 1_000;
    private static final long TIMEOUT_MILLISECONDS = 250;
    /** Maximum number of completions in one listing. */
    private static final int MAX_LISTED_COMPLETIONS = 500;

    static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    /** Speed of the upstream's clock in percent of true time; a clock may be two percent slow. */
    private static final long CLOCK_PERCENT = 98;

    private final VirtualTime time;
    private final String identity;
    private final StartRecord record;
    private final ToLongFunction<TaskIdentity> taskDurations;
    private final Map<RunIdentity, Long> running = new LinkedHashMap<>();
    private final TreeMap<Long, UpstreamPort.Completion> completions = new TreeMap<>();
    /** Times, by number, of those unacknowledged completions since which the lease has not expired. */
    private final Map<Long, Long> completionTimes = new HashMap<>();

    private final Map<TaskIdentity, Integer> highestRunNumbers = new HashMap<>();
    private final List<Runnable> pendingHolds = new ArrayList<>();
    private String service = "service";
    private List<String> labels = List.of("a", "rack");
    private long startedAt;
    private long sequence;
    private long highestFencingToken;
    private long leaseUntil;
    private long completionCounter;
    private long incarnation;
    private long orderDelayMilliseconds;
    private boolean stallingRuns;
    private boolean refusingConnections;
    private int holdCount;
    private double speed = 1;
    private final Map<RunIdentity, Long> runDurations = new HashMap<>();
    private RunOutcome nextOutcome = RunOutcome.DONE;

    SimulatedUpstream(
            VirtualTime time, String identity, StartRecord record, ToLongFunction<TaskIdentity> taskDurations) {
        this.time = time;
        this.identity = identity;
        this.record = record;
        this.taskDurations = taskDurations;
        this.startedAt = 1 + time.now();
    }

    /** Restarts the upstream under the same name, without any state. */
    void restart() {
        running.keySet().forEach(record::recordCompletion);
        running.clear();
        completions.clear();
        completionTimes.clear();
        highestRunNumbers.clear();
        highestFencingToken = 0;
        sequence = 0;
        completionCounter = 0;
        leaseUntil = 0;
        incarnation++;
        startedAt = 1 + time.now();
    }

    /**
     * Leaves start and stop orders unanswered and executes them after a delay; a delay of 0 restores normal execution.
     */
    void delayOrders(long milliseconds) {
        orderDelayMilliseconds = milliseconds;
    }

    /** Sets whether connections are refused. */
    void refuseConnections(boolean refuse) {
        refusingConnections = refuse;
    }

    /** Returns the number of hold requests received. */
    int holdCount() {
        return holdCount;
    }

    /** Sets the factor by which the next runs are faster than usual. */
    void setSpeed(double factor) {
        speed = factor;
    }

    private long durationOf(TaskIdentity task) {
        return Math.round(taskDurations.applyAsLong(task) / speed);
    }

    /** Sets whether the next runs stall. */
    void stallRuns(boolean stalled) {
        stallingRuns = stalled;
    }

    /** Sets the outcome of the next runs. */
    void setNextOutcome(RunOutcome outcome) {
        nextOutcome = outcome;
    }

    /** Sets the service and labels, from the next announcement on. */
    void setDescription(String newService, List<String> newLabels) {
        service = newService;
        labels = newLabels;
    }

    String identity() {
        return identity;
    }

    Set<RunIdentity> running() {
        return running.keySet();
    }

    int runningCount() {
        return running.size();
    }

    UpstreamAnnouncement announcement() {
        return new UpstreamAnnouncement(description(), ++sequence, false);
    }

    UpstreamIncarnation description() {
        return new UpstreamIncarnation(identity, startedAt, service, CAPACITY, labels);
    }

    /** Returns the port for one sidecar process. */
    UpstreamPort portFor(VirtualLoop loop) {
        return new Port(loop);
    }

    private long clock() {
        return (time.now() - startedAt) * CLOCK_PERCENT / 100;
    }

    private void extendLease(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLISECONDS));
        long startIncarnation = incarnation;
        // 2 ms later, as the clock rounds down and the lease has expired only after its last millisecond.
        time.after(Math.max(0, leaseUntil - clock()) * 100 / CLOCK_PERCENT + 2, () -> {
            if (incarnation == startIncarnation && clock() > leaseUntil) {
                completionTimes.clear();
                List.copyOf(running.keySet()).forEach(run -> complete(run, RunOutcome.LAPSED));
            }
        });
    }

    private void complete(RunIdentity run, RunOutcome outcome) {
        if (running.remove(run) != null) {
            record.recordCompletion(run);
            if (outcome == RunOutcome.DONE) {
                record.recordSuccess(run);
            }
            completionCounter++;
            completions.put(completionCounter, new UpstreamPort.Completion(completionCounter, run, outcome));
            completionTimes.put(completionCounter, time.now());
            List<Runnable> notified = List.copyOf(pendingHolds);
            pendingHolds.clear();
            notified.forEach(Runnable::run);
        }
    }

    private void acknowledge(long number) {
        Map<Long, UpstreamPort.Completion> acknowledgedCompletions = completions.headMap(number, true);
        acknowledgedCompletions.values().forEach(completion -> {
            Long completedAt = completionTimes.remove(completion.number());
            if (completedAt != null && completion.outcome() == RunOutcome.DONE) {
                record.recordAcknowledgement(completion.run(), completedAt);
            }
        });
        acknowledgedCompletions.clear();
    }

    private UpstreamPort.Answer doStart(RunIdentity run, UpstreamPort.Order order) {
        if (!order.identity().isEmpty() && !order.identity().equals(identity)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OTHER_INSTANCE, clock());
        }
        if (order.fence() < highestFencingToken) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        highestFencingToken = order.fence();
        if (order.leaseUntil() <= clock()) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.LATE, clock());
        }
        extendLease(order.leaseUntil());
        if (running.containsKey(run)) {
            return new UpstreamPort.Answer.Accepted(clock());
        }
        if (run.number() <= highestRunNumbers.getOrDefault(run.task(), 0)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OLD, clock());
        }
        highestRunNumbers.put(run.task(), run.number());
        running.put(run, time.now());
        record.recordStart(run, identity, time.now());
        RunOutcome outcome = nextOutcome;
        long startIncarnation = incarnation;
        boolean stalled = stallingRuns;
        // A stalled run always reports a progress of 0 percent.
        runDurations.put(run, stalled ? Long.MAX_VALUE / 200 : durationOf(run.task()));
        time.after(durationOf(run.task()), () -> {
            if (incarnation == startIncarnation && !stalled) {
                complete(run, outcome);
            }
        });
        return new UpstreamPort.Answer.Accepted(clock());
    }

    private UpstreamPort.Answer doStop(RunIdentity run, UpstreamPort.Order order) {
        if (order.fence() < highestFencingToken) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        highestFencingToken = order.fence();
        highestRunNumbers.merge(run.task(), run.number(), Math::max);
        complete(run, RunOutcome.STOPPED);
        return new UpstreamPort.Answer.Accepted(clock());
    }

    private final class Port implements UpstreamPort {
        private final VirtualLoop loop;

        Port(VirtualLoop loop) {
            this.loop = loop;
        }

        @Override
        public void start(RunIdentity run, String payload, Order order, Consumer<Answer> receiver) {
            order(receiver, () -> doStart(run, order));
        }

        @Override
        public void stop(RunIdentity run, Order order, Consumer<Answer> receiver) {
            order(receiver, () -> doStop(run, order));
        }

        private void order(Consumer<Answer> receiver, java.util.function.Supplier<Answer> action) {
            if (orderDelayMilliseconds > 0) {
                time.after(orderDelayMilliseconds, action::get);
                time.after(TIMEOUT_MILLISECONDS, () -> loop.run(() -> receiver.accept(new Answer.Unanswered("late"))));
            } else {
                time.after(1, () -> {
                    Answer answer = action.get();
                    loop.run(() -> receiver.accept(answer));
                });
            }
        }

        @Override
        public void hold(Order order, long acknowledged, long waitMilliseconds, Consumer<Answer> receiver) {
            holdCount++;
            if (refusingConnections) {
                time.after(1, () -> loop.run(() -> receiver.accept(new Answer.Unanswered("connection refused"))));
                return;
            }
            time.after(1, () -> {
                if (order.fence() < highestFencingToken) {
                    loop.run(() -> receiver.accept(new Answer.Refused(Refusal.FENCED, clock())));
                    return;
                }
                highestFencingToken = order.fence();
                acknowledge(acknowledged);
                if (order.leaseUntil() > 0) {
                    extendLease(order.leaseUntil());
                }
                boolean[] answered = {false};
                Runnable answer = () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        List<Running> list = running.keySet().stream()
                                .map(run ->
                                        new Running(run, 100 * (time.now() - running.get(run)) / runDurations.get(run)))
                                .toList();
                        List<Completion> first = completions.values().stream()
                                .limit(MAX_LISTED_COMPLETIONS)
                                .toList();
                        Answer listing = new Answer.Listing(
                                clock(), startedAt, identity, list, first, first.size() < MAX_LISTED_COMPLETIONS);
                        loop.run(() -> receiver.accept(listing));
                    }
                };
                if (waitMilliseconds == 0 || !completions.isEmpty()) {
                    answer.run();
                } else {
                    pendingHolds.add(answer);
                    time.after(waitMilliseconds, answer);
                }
            });
        }
    }
}
