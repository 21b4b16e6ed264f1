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

/** Upstream of a simulation: it keeps leases, fences and ends as the platform's executors do. */
final class SimulatedUpstream {
    private static final long LONGEST_LEASE = 1_000;
    private static final long TIMEOUT = 250;
    /** Ends that are listed at a time. */
    private static final int MOST_ENDS = 500;

    static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    /** Speed of its clock against the true one; it may be two percent slow. */
    private static final long CLOCK_PERCENT = 98;

    private final VirtualTime time;
    private final String identity;
    private final StartRecord record;
    private final ToLongFunction<TaskIdentity> durations;
    private final Map<RunIdentity, Long> running = new LinkedHashMap<>();
    private final TreeMap<Long, UpstreamPort.Completion> ends = new TreeMap<>();
    /** Times of ends since which the lease has held. */
    private final Map<Long, Long> endTimes = new HashMap<>();

    private final Map<TaskIdentity, Integer> highest = new HashMap<>();
    private final List<Runnable> waiters = new ArrayList<>();
    private String service = "service";
    private List<String> labels = List.of("a", "rack");
    private long born;
    private long sequence;
    private long fence;
    private long leaseUntil;
    private long endCounter;
    private long life;
    private long lateBy;
    private boolean standsStill;
    private boolean refusing;
    private int holds;
    private double speed = 1;
    private final Map<RunIdentity, Long> lengths = new HashMap<>();
    private RunOutcome nextOutcome = RunOutcome.DONE;

    SimulatedUpstream(VirtualTime time, String identity, StartRecord record, ToLongFunction<TaskIdentity> durations) {
        this.time = time;
        this.identity = identity;
        this.record = record;
        this.durations = durations;
        this.born = 1 + time.now();
    }

    /** Begins another life under the same name: all is forgotten. */
    void rebirth() {
        running.keySet().forEach(record::ended);
        running.clear();
        ends.clear();
        endTimes.clear();
        highest.clear();
        fence = 0;
        sequence = 0;
        endCounter = 0;
        leaseUntil = 0;
        life++;
        born = 1 + time.now();
    }

    /** Leaves orders without an answer and carries them out later; 0 to end that. */
    void lateBy(long milliseconds) {
        lateBy = milliseconds;
    }

    /** Says whether connections are refused. */
    void refuseConnections(boolean all) {
        refusing = all;
    }

    /** Counts the holds that were asked for. */
    int holds() {
        return holds;
    }

    /** Says how much faster than usual the next runs are. */
    void speed(double factor) {
        speed = factor;
    }

    private long durationOf(TaskIdentity task) {
        return Math.round(durations.applyAsLong(task) / speed);
    }

    /** Says whether the next runs stand still. */
    void standStill(boolean still) {
        standsStill = still;
    }

    /** Says how the next runs end. */
    void outcome(RunOutcome outcome) {
        nextOutcome = outcome;
    }

    /** Says what it is from its next announcement on. */
    void describeAs(String kind, List<String> all) {
        service = kind;
        labels = all;
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
        return new UpstreamIncarnation(identity, born, service, CAPACITY, labels);
    }

    /** Gives the port of one sidecar process. */
    UpstreamPort of(VirtualLoop loop) {
        return new Port(loop);
    }

    private long clock() {
        return (time.now() - born) * CLOCK_PERCENT / 100;
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + LONGEST_LEASE));
        long atLife = life;
        time.after(Math.max(0, leaseUntil - clock()) * 100 / CLOCK_PERCENT + 2, () -> {
            if (life == atLife && clock() > leaseUntil) {
                endTimes.clear();
                List.copyOf(running.keySet()).forEach(run -> end(run, RunOutcome.LAPSED));
            }
        });
    }

    private void end(RunIdentity run, RunOutcome outcome) {
        if (running.remove(run) != null) {
            record.ended(run);
            if (outcome == RunOutcome.DONE) {
                record.done(run);
            }
            endCounter++;
            ends.put(endCounter, new UpstreamPort.Completion(endCounter, run, outcome));
            endTimes.put(endCounter, time.now());
            List<Runnable> woken = List.copyOf(waiters);
            waiters.clear();
            woken.forEach(Runnable::run);
        }
    }

    private void acknowledge(long number) {
        Map<Long, UpstreamPort.Completion> forgotten = ends.headMap(number, true);
        forgotten.values().forEach(end -> {
            Long endedAt = endTimes.remove(end.number());
            if (endedAt != null && end.outcome() == RunOutcome.DONE) {
                record.acknowledged(end.run(), endedAt);
            }
        });
        forgotten.clear();
    }

    private UpstreamPort.Answer doStart(RunIdentity run, UpstreamPort.Order order) {
        if (!order.identity().isEmpty() && !order.identity().equals(identity)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OTHER_INSTANCE, clock());
        }
        if (order.fence() < fence) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        fence = order.fence();
        if (order.leaseUntil() <= clock()) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.LATE, clock());
        }
        extend(order.leaseUntil());
        if (running.containsKey(run)) {
            return new UpstreamPort.Answer.Accepted(clock());
        }
        if (run.number() <= highest.getOrDefault(run.task(), 0)) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.OLD, clock());
        }
        highest.put(run.task(), run.number());
        running.put(run, time.now());
        record.started(run, identity, time.now());
        RunOutcome outcome = nextOutcome;
        long atLife = life;
        boolean still = standsStill;
        lengths.put(run, still ? Long.MAX_VALUE / 200 : durationOf(run.task()));
        time.after(durationOf(run.task()), () -> {
            if (life == atLife && !still) {
                end(run, outcome);
            }
        });
        return new UpstreamPort.Answer.Accepted(clock());
    }

    private UpstreamPort.Answer doStop(RunIdentity run, UpstreamPort.Order order) {
        if (order.fence() < fence) {
            return new UpstreamPort.Answer.Refused(UpstreamPort.Refusal.FENCED, clock());
        }
        fence = order.fence();
        highest.merge(run.task(), run.number(), Math::max);
        end(run, RunOutcome.STOPPED);
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
            if (lateBy > 0) {
                time.after(lateBy, action::get);
                time.after(TIMEOUT, () -> loop.run(() -> receiver.accept(new Answer.Unanswered("late"))));
            } else {
                time.after(1, () -> {
                    Answer answer = action.get();
                    loop.run(() -> receiver.accept(answer));
                });
            }
        }

        @Override
        public void hold(Order order, long acknowledged, long waitMilliseconds, Consumer<Answer> receiver) {
            holds++;
            if (refusing) {
                time.after(1, () -> loop.run(() -> receiver.accept(new Answer.Unanswered("connection refused"))));
                return;
            }
            time.after(1, () -> {
                if (order.fence() < fence) {
                    loop.run(() -> receiver.accept(new Answer.Refused(Refusal.FENCED, clock())));
                    return;
                }
                fence = order.fence();
                acknowledge(acknowledged);
                if (order.leaseUntil() > 0) {
                    extend(order.leaseUntil());
                }
                boolean[] answered = {false};
                Runnable answer = () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        List<Running> list = running.keySet().stream()
                                .map(run -> new Running(run, 100 * (time.now() - running.get(run)) / lengths.get(run)))
                                .toList();
                        List<Completion> first =
                                ends.values().stream().limit(MOST_ENDS).toList();
                        Answer listing =
                                new Answer.Listing(clock(), born, identity, list, first, first.size() < MOST_ENDS);
                        loop.run(() -> receiver.accept(listing));
                    }
                };
                if (waitMilliseconds == 0 || !ends.isEmpty()) {
                    answer.run();
                } else {
                    waiters.add(answer);
                    time.after(waitMilliseconds, answer);
                }
            });
        }
    }
}
