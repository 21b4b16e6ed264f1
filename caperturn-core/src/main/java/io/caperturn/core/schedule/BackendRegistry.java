package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Function;

/** Back ends known to this entry: their windows, their pools and which are kept away from work. */
final class BackendRegistry {
    private static final long FORGET_INTERVAL_NANOSECONDS = 5_000_000_000L;

    private final SchedulerPolicy.Health policy;
    private final SchedulerPolicy.Speed speed;
    private final SpeedModel.Mean meanSpeed = new SpeedModel.Mean();
    private final Function<String, Optional<KindState>> kinds;
    private final Map<ProcessId, Backend> backends = new LinkedHashMap<>();
    private final PriorityQueue<Backend> ejected =
            new PriorityQueue<>(Comparator.comparingLong(Backend::ejectedUntil).thenComparingInt(Backend::sequence));
    private final PriorityQueue<Backend> full =
            new PriorityQueue<>(Comparator.comparingLong(Backend::fullUntil).thenComparingInt(Backend::sequence));
    private double completions;
    private double failures;
    private long forgetAt = Long.MIN_VALUE;
    private int nextSequence;

    BackendRegistry(SchedulerPolicy policy, Function<String, Optional<KindState>> kinds) {
        this.policy = policy.health();
        this.speed = policy.speed();
        this.kinds = kinds;
    }

    Optional<Backend> find(ProcessId sidecar) {
        return Optional.ofNullable(backends.get(sidecar));
    }

    List<SchedulerView.BackendView> view() {
        return backends.values().stream().map(Backend::view).toList();
    }

    void changed(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window) {
        Backend backend = backends.computeIfAbsent(sidecar, id -> newBackend(id, upstream));
        boolean sameKinds = backend.upstream().kinds().equals(upstream.kinds());
        backend.change(upstream, serving, window);
        if (!sameKinds || backend.seats().isEmpty()) {
            seat(backend);
        }
        refresh(backend);
    }

    /** Gives back ends their places in the pools of kinds that became known. */
    void kindsChanged() {
        backends.values().forEach(this::seat);
    }

    void windowChanged(ProcessId sidecar, int window) {
        find(sidecar).ifPresent(backend -> {
            backend.windowChanged(window);
            refresh(backend);
        });
    }

    void lost(ProcessId sidecar) {
        find(sidecar).ifPresent(backend -> {
            backend.unlinked();
            refresh(backend);
            forgetIfGone(backend);
        });
    }

    void placed(Backend backend) {
        backend.placed();
        refresh(backend);
    }

    void ended(Backend backend, SubmissionId submission, PlacementOutcome end, long now) {
        backend.ended();
        switch (end) {
            case COMPLETED -> {
                backend.succeeded();
                completions++;
            }
            case FAILED -> failed(backend, submission, now);
            case NOT_STARTED -> refused(backend, now);
            case UNKNOWN -> {}
        }
        refresh(backend);
        forgetIfGone(backend);
    }

    private void refused(Backend backend, long now) {
        if (!backend.isFull()) {
            backend.refused(now, policy);
            full.add(backend);
        }
    }

    /** Puts back ends on probation whose ejection is over, and uses those again that refused some time ago. */
    void release(long now) {
        while (!full.isEmpty() && full.peek().fullUntil() <= now) {
            Backend backend = full.poll();
            backend.retry();
            refresh(backend);
        }
        while (!ejected.isEmpty() && ejected.peek().ejectedUntil() <= now) {
            Backend backend = ejected.poll();
            backend.probe();
            refresh(backend);
        }
    }

    /** Lets outcomes of the past fade, at intervals. */
    void fade(long now) {
        if (now < forgetAt) {
            return;
        }
        forgetAt = now + FORGET_INTERVAL_NANOSECONDS;
        completions /= 2;
        failures /= 2;
        backends.values().forEach(Backend::halveOutcomes);
    }

    void refresh(Backend backend) {
        backend.seats().forEach(KindPool.Seat::refresh);
    }

    private void failed(Backend backend, SubmissionId submission, long now) {
        if (backend.failed(submission)) {
            failures++;
        }
        double peerFailures = failures - backend.failures();
        double peerOutcomes = peerFailures + completions - backend.completions();
        boolean peersFailToo = peerFailures > policy.peerFailureRatio() * peerOutcomes;
        if (peersFailToo) {
            backend.clear();
        } else if (!backend.ejected() && (backend.probing() || mayAvoidMore(backend))) {
            backend.suspect(now + policy.probePatience().toNanos());
        }
        boolean proven = peerOutcomes > 0 && backend.consecutiveFailures() >= policy.minimumFailures();
        if (backend.probing() && !backend.ejected() && proven) {
            backend.eject(now, policy);
            ejected.add(backend);
        }
    }

    private boolean mayAvoidMore(Backend backend) {
        long avoided = backends.values().stream()
                .filter(other -> other != backend && other.serving() && other.probing())
                .count();
        long serving = backends.values().stream().filter(Backend::serving).count();
        return avoided + 1 <= policy.ejectableFraction() * serving;
    }

    private Backend newBackend(ProcessId sidecar, UpstreamDescription upstream) {
        return new Backend(
                sidecar,
                nextSequence++,
                upstream,
                firstAllowance(upstream),
                new SpeedModel.OverallSpeed(speed, meanSpeed));
    }

    private int firstAllowance(UpstreamDescription upstream) {
        boolean peersAreProven = upstream.kinds().stream()
                .map(kinds)
                .flatMap(Optional::stream)
                .anyMatch(kind -> kind.pool().serving() > 0 && kind.speeds().samples() > upstream.slots());
        return peersAreProven ? Math.min(upstream.slots(), policy.newcomerSlots()) : upstream.slots();
    }

    private void seat(Backend backend) {
        backend.seats().removeIf(seat -> {
            boolean served =
                    backend.upstream().kinds().contains(seat.kind().row().kind());
            if (!served) {
                seat.leave();
            }
            return !served;
        });
        for (String name : new TreeSet<>(backend.upstream().kinds())) {
            Optional<KindState> kind = kinds.apply(name);
            boolean seated = backend.seats().stream().anyMatch(seat -> kind.isPresent() && seat.kind() == kind.get());
            if (kind.isPresent() && !seated) {
                KindPool.Seat seat = new KindPool.Seat(kind.get(), backend);
                backend.seats().add(seat);
                seat.refresh();
            }
        }
    }

    private void forgetIfGone(Backend backend) {
        if (!backend.linked() && backend.outstanding() == 0) {
            backend.seats().forEach(KindPool.Seat::leave);
            backends.remove(backend.sidecar());
            ejected.remove(backend);
            full.remove(backend);
        }
    }
}
