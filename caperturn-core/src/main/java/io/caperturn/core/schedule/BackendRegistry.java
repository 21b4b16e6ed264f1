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
 * Registry of the back ends (sidecar processes with their upstreams) that a scheduler can place tasks at.
 *
 * <p>Keeps the pool of each kind of task (the back ends that serve the kind) up to date. A back end that fails tasks
 * while others complete theirs is put on probation (one task at a time) or ejected (no tasks for some time); one whose
 * sidecar refused a task is paused. A window is the maximum number of tasks outstanding at a sidecar. Times of type
 * long are in nanoseconds since the epoch.
 */
final class BackendRegistry {
    private static final long OUTCOME_HALVING_INTERVAL_NANOSECONDS = 5_000_000_000L;

    private final SchedulerPolicy.HealthPolicy healthPolicy;
    private final SchedulerPolicy.SpeedPolicy speedPolicy;
    /** Mean logarithm of the ratio of service times to expected ones at all back ends. */
    private final ServiceTimeModel.Mean sharedMean = new ServiceTimeModel.Mean();

    private final Function<String, Optional<KindState>> findKind;
    private final Map<ProcessId, Backend> backends = new LinkedHashMap<>();
    private final PriorityQueue<Backend> ejectedBackends = new PriorityQueue<>(
            Comparator.comparingLong(Backend::firstProbeAt).thenComparingInt(Backend::sequenceNumber));
    private final PriorityQueue<Backend> pausedBackends = new PriorityQueue<>(
            Comparator.comparingLong(Backend::refusalPauseUntil).thenComparingInt(Backend::sequenceNumber));
    private double totalCompletions;
    private double totalFailures;
    private long nextHalvingAt = Long.MIN_VALUE;
    private int nextSequenceNumber;

    BackendRegistry(SchedulerPolicy policy, Function<String, Optional<KindState>> findKind) {
        this.healthPolicy = policy.health();
        this.speedPolicy = policy.speed();
        this.findKind = findKind;
    }

    Optional<Backend> find(ProcessId sidecar) {
        return Optional.ofNullable(backends.get(sidecar));
    }

    List<SchedulerView.BackendView> view() {
        return backends.values().stream().map(Backend::view).toList();
    }

    void addOrUpdate(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window) {
        Backend backend = backends.computeIfAbsent(sidecar, id -> newBackend(id, upstream));
        boolean sameKinds = backend.upstream().kinds().equals(upstream.kinds());
        backend.updateUpstream(upstream, serving, window);
        if (!sameKinds || backend.poolMembers().isEmpty()) {
            updatePools(backend);
        }
        refresh(backend);
    }

    /** Adds each back end to the pools of the kinds that were added to the operators' table and that it serves. */
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
                totalCompletions++;
            }
            case FAILED -> recordFailure(backend, submission, now);
            case NOT_STARTED -> recordRefusal(backend, now);
            case UNKNOWN -> {}
        }
        refresh(backend);
        removeIfUnused(backend);
    }

    private void recordRefusal(Backend backend, long now) {
        if (!backend.isPausedAfterRefusal()) {
            backend.recordRefusal(now, healthPolicy);
            pausedBackends.add(backend);
        }
    }

    /** Ends ejections and pauses whose time is over. */
    void endExpiredPausesAndEjections(long now) {
        while (!pausedBackends.isEmpty() && pausedBackends.peek().refusalPauseUntil() <= now) {
            Backend backend = pausedBackends.poll();
            backend.endRefusalPause();
            refresh(backend);
        }
        while (!ejectedBackends.isEmpty() && ejectedBackends.peek().firstProbeAt() <= now) {
            Backend backend = ejectedBackends.poll();
            backend.endEjection();
            refresh(backend);
        }
    }

    /** Halves the numbers of completions and failures once per interval, so that later outcomes weigh more. */
    void halveOutcomeCountsIfDue(long now) {
        if (now < nextHalvingAt) {
            return;
        }
        nextHalvingAt = now + OUTCOME_HALVING_INTERVAL_NANOSECONDS;
        totalCompletions /= 2;
        totalFailures /= 2;
        backends.values().forEach(Backend::halveOutcomeCounts);
    }

    /** Updates the pools that a back end belongs to, after a change of its capacity, load or speed. */
    void refresh(Backend backend) {
        backend.poolMembers().forEach(KindPool.PoolMember::refresh);
    }

    /**
     * Records a failure: starts probation of the back end, or ejects it if it fails repeatedly. Does neither while the
     * other back ends fail often too.
     */
    private void recordFailure(Backend backend, SubmissionId submission, long now) {
        if (backend.recordFailure(submission)) {
            totalFailures++;
        }
        double peerFailures = totalFailures - backend.decayedFailures();
        double peerOutcomes = peerFailures + totalCompletions - backend.decayedCompletions();
        boolean peersFailToo = peerFailures > healthPolicy.maximumPeerFailureRatio() * peerOutcomes;
        if (peersFailToo) {
            backend.endProbation();
        } else if (!backend.isEjected() && (backend.isOnProbation() || mayStartProbation(backend))) {
            backend.startProbation(now + healthPolicy.nonIdempotentProbeDelay().toNanos());
        }
        boolean isProvenFaulty = peerOutcomes > 0 && backend.consecutiveFailures() >= healthPolicy.minimumFailures();
        if (backend.isOnProbation() && !backend.isEjected() && isProvenFaulty) {
            backend.eject(now, healthPolicy);
            ejectedBackends.add(backend);
        }
    }

    /** Returns whether the fraction of back ends on probation stays within its maximum if this one is added. */
    private boolean mayStartProbation(Backend backend) {
        long onProbation = backends.values().stream()
                .filter(other -> other != backend && other.isServing() && other.isOnProbation())
                .count();
        long serving = backends.values().stream().filter(Backend::isServing).count();
        return onProbation + 1 <= healthPolicy.maximumEjectedFraction() * serving;
    }

    private Backend newBackend(ProcessId sidecar, UpstreamDescription upstream) {
        return new Backend(
                sidecar,
                nextSequenceNumber++,
                upstream,
                initialConcurrencyLimit(upstream),
                new ServiceTimeModel.OverallSpeed(speedPolicy, sharedMean));
    }

    /**
     * Returns the concurrency limit of a new back end: a few slots if other back ends serve one of its kinds and more
     * service times of that kind were observed than it has slots, otherwise all slots.
     */
    private int initialConcurrencyLimit(UpstreamDescription upstream) {
        boolean hasLearnedPeers = upstream.kinds().stream()
                .map(findKind)
                .flatMap(Optional::stream)
                .anyMatch(kind ->
                        kind.pool().servingBackends() > 0 && kind.serviceTimes().sampleCount() > upstream.slots());
        return hasLearnedPeers ? Math.min(upstream.slots(), healthPolicy.newBackendSlots()) : upstream.slots();
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
            Optional<KindState> kind = findKind.apply(name);
            boolean isMember =
                    backend.poolMembers().stream().anyMatch(member -> kind.isPresent() && member.kind() == kind.get());
            if (kind.isPresent() && !isMember) {
                KindPool.PoolMember member = new KindPool.PoolMember(kind.get(), backend);
                backend.poolMembers().add(member);
                member.refresh();
            }
        }
    }

    /** Removes a back end if the link to its sidecar is lost and no task is outstanding there. */
    private void removeIfUnused(Backend backend) {
        if (!backend.isLinked() && backend.outstandingTasks() == 0) {
            backend.poolMembers().forEach(KindPool.PoolMember::leave);
            backends.remove(backend.sidecar());
            ejectedBackends.remove(backend);
            pausedBackends.remove(backend);
        }
    }
}
