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

/**
 * Back ends known to this entry, with their windows, the pools of kinds that they belong to, and the pauses of those
 * that are ejected or refused a task.
 */
final class BackendRegistry {
    private static final long OUTCOME_DECAY_INTERVAL_NANOSECONDS = 5_000_000_000L;

    private final SchedulerPolicy.HealthPolicy policy;
    private final SchedulerPolicy.SpeedPolicy speedPolicy;
    private final ServiceTimeModel.Mean meanSpeed = new ServiceTimeModel.Mean();
    private final Function<String, Optional<KindState>> kinds;
    private final Map<ProcessId, Backend> backends = new LinkedHashMap<>();
    private final PriorityQueue<Backend> ejected =
            new PriorityQueue<>(Comparator.comparingLong(Backend::firstProbeAt).thenComparingInt(Backend::sequence));
    private final PriorityQueue<Backend> full =
            new PriorityQueue<>(Comparator.comparingLong(Backend::fullUntil).thenComparingInt(Backend::sequence));
    private double completions;
    private double failures;
    private long nextDecayAt = Long.MIN_VALUE;
    private int nextSequence;

    BackendRegistry(SchedulerPolicy policy, Function<String, Optional<KindState>> kinds) {
        this.policy = policy.health();
        this.speedPolicy = policy.speed();
        this.kinds = kinds;
    }

    Optional<Backend> find(ProcessId sidecar) {
        return Optional.ofNullable(backends.get(sidecar));
    }

    List<SchedulerView.BackendView> view() {
        return backends.values().stream().map(Backend::view).toList();
    }

    void update(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window) {
        Backend backend = backends.computeIfAbsent(sidecar, id -> newBackend(id, upstream));
        boolean sameKinds = backend.upstream().kinds().equals(upstream.kinds());
        backend.update(upstream, serving, window);
        if (!sameKinds || backend.poolMembers().isEmpty()) {
            updatePools(backend);
        }
        refresh(backend);
    }

    /** Adds each back end to the pools of those kinds it serves that were added to the table. */
    void kindsChanged() {
        backends.values().forEach(this::updatePools);
    }

    void windowChanged(ProcessId sidecar, int window) {
        find(sidecar).ifPresent(backend -> {
            backend.setWindow(window);
            refresh(backend);
        });
    }

    void sidecarLost(ProcessId sidecar) {
        find(sidecar).ifPresent(backend -> {
            backend.markUnlinked();
            refresh(backend);
            removeIfUnused(backend);
        });
    }

    void taskPlaced(Backend backend) {
        backend.taskPlaced();
        refresh(backend);
    }

    void placementFinished(Backend backend, SubmissionId submission, PlacementOutcome outcome, long now) {
        backend.taskFinished();
        switch (outcome) {
            case COMPLETED -> {
                backend.recordSuccess();
                completions++;
            }
            case FAILED -> recordFailure(backend, submission, now);
            case NOT_STARTED -> recordRefusal(backend, now);
            case UNKNOWN -> {}
        }
        refresh(backend);
        removeIfUnused(backend);
    }

    private void recordRefusal(Backend backend, long now) {
        if (!backend.isFull()) {
            backend.recordRefusal(now, policy);
            full.add(backend);
        }
    }

    /** Ends the ejections and the pauses after refusals that have expired. */
    void endExpiredPauses(long now) {
        while (!full.isEmpty() && full.peek().fullUntil() <= now) {
            Backend backend = full.poll();
            backend.endRefusalPause();
            refresh(backend);
        }
        while (!ejected.isEmpty() && ejected.peek().firstProbeAt() <= now) {
            Backend backend = ejected.poll();
            backend.endEjection();
            refresh(backend);
        }
    }

    /** Halves the weight of earlier outcomes once per decay interval. */
    void decayOutcomes(long now) {
        if (now < nextDecayAt) {
            return;
        }
        nextDecayAt = now + OUTCOME_DECAY_INTERVAL_NANOSECONDS;
        completions /= 2;
        failures /= 2;
        backends.values().forEach(Backend::decayOutcomes);
    }

    /** Updates the pools after a change of the back end's capacity, load or speed. */
    void refresh(Backend backend) {
        backend.poolMembers().forEach(KindPool.PoolMember::refresh);
    }

    private void recordFailure(Backend backend, SubmissionId submission, long now) {
        if (backend.recordFailure(submission)) {
            failures++;
        }
        double peerFailures = failures - backend.failures();
        double peerOutcomes = peerFailures + completions - backend.completions();
        boolean peersFailToo = peerFailures > policy.peerFailureRatio() * peerOutcomes;
        if (peersFailToo) {
            backend.endProbation();
        } else if (!backend.isEjected() && (backend.isOnProbation() || mayStartProbation(backend))) {
            backend.startProbation(now + policy.nonIdempotentProbeDelay().toNanos());
        }
        boolean isProvenFaulty = peerOutcomes > 0 && backend.consecutiveFailures() >= policy.minimumFailures();
        if (backend.isOnProbation() && !backend.isEjected() && isProvenFaulty) {
            backend.eject(now, policy);
            ejected.add(backend);
        }
    }

    /** Returns whether the fraction of back ends on probation stays within the limit if this one is added. */
    private boolean mayStartProbation(Backend backend) {
        long onProbation = backends.values().stream()
                .filter(other -> other != backend && other.isServing() && other.isOnProbation())
                .count();
        long serving = backends.values().stream().filter(Backend::isServing).count();
        return onProbation + 1 <= policy.ejectableFraction() * serving;
    }

    private Backend newBackend(ProcessId sidecar, UpstreamDescription upstream) {
        return new Backend(
                sidecar,
                nextSequence++,
                upstream,
                initialConcurrencyLimit(upstream),
                new ServiceTimeModel.OverallSpeed(speedPolicy, meanSpeed));
    }

    /**
     * Returns the concurrency limit of a new back end: a few slots if others serve one of its kinds and more service
     * times of the kind were observed than it has slots, otherwise all of its slots.
     */
    private int initialConcurrencyLimit(UpstreamDescription upstream) {
        boolean hasLearnedPeers = upstream.kinds().stream()
                .map(kinds)
                .flatMap(Optional::stream)
                .anyMatch(kind ->
                        kind.pool().servingBackends() > 0 && kind.serviceTimes().samples() > upstream.slots());
        return hasLearnedPeers ? Math.min(upstream.slots(), policy.newBackendSlots()) : upstream.slots();
    }

    private void updatePools(Backend backend) {
        backend.poolMembers().removeIf(member -> {
            boolean isServed =
                    backend.upstream().kinds().contains(member.kind().row().kind());
            if (!isServed) {
                member.leave();
            }
            return !isServed;
        });
        for (String name : new TreeSet<>(backend.upstream().kinds())) {
            Optional<KindState> kind = kinds.apply(name);
            boolean isMember =
                    backend.poolMembers().stream().anyMatch(member -> kind.isPresent() && member.kind() == kind.get());
            if (kind.isPresent() && !isMember) {
                KindPool.PoolMember member = new KindPool.PoolMember(kind.get(), backend);
                backend.poolMembers().add(member);
                member.refresh();
            }
        }
    }

    /** Removes a back end whose link is lost once none of its placements is outstanding. */
    private void removeIfUnused(Backend backend) {
        if (!backend.isLinked() && backend.outstanding() == 0) {
            backend.poolMembers().forEach(KindPool.PoolMember::leave);
            backends.remove(backend.sidecar());
            ejected.remove(backend);
            full.remove(backend);
        }
    }
}
