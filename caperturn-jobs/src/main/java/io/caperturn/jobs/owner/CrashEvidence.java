package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.UpstreamCrash;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Evidence which queues have tasks that crash upstreams, from the crashes that sidecars (processes beside upstreams)
 * tell.
 *
 * <p>Each crash comes with the chance, for each queue with an active run there, that a run of it would have started as
 * lately as the latest one did. For a queue without a part in the crashes, these chances are uniformly distributed; the
 * chances of several crashes are combined by Fisher's method (R. A. Fisher, Statistical Methods for Research Workers,
 * 1925).
 */
final class CrashEvidence {
    /** Age at which a crash is no longer evidence, in milliseconds. */
    private static final long MAX_AGE_MILLISECONDS = 10_000;
    /** Chance of crashes that fit as well, below which a queue is taken for their cause. */
    private static final double MAX_COINCIDENCE = 0.1;
    /** Like {@link #MAX_COINCIDENCE}, for further queues than the one that fits the crashes best. */
    private static final double MAX_FURTHER_COINCIDENCE = 0.01;
    /** Number of crashes from which queues are taken for their cause: one may have any cause. */
    private static final int MIN_CRASHES = 2;
    /** Time within which crashes count as one, in milliseconds: instances that are lost together have another cause. */
    private static final long SAME_MOMENT_MILLISECONDS = 50;

    private static final double PERMILLE = 1_000;

    private final DecisionLoop loop;
    private final Deque<KnownCrash> crashes = new ArrayDeque<>();
    private final Map<String, Long> highestNumberBySidecar = new HashMap<>();
    private final Map<String, KnownCrash> lastCrashBySidecar = new HashMap<>();

    CrashEvidence(DecisionLoop loop) {
        this.loop = loop;
    }

    /** Crash on an upstream of a service, at a time of the monotonic clock in milliseconds. */
    private record KnownCrash(
            String incarnation, long number, String service, long at, Map<String, Integer> startChancePermille) {}

    /**
     * Records the crashes that an incarnation (start) of a sidecar tells, and forgets those that it tells no more,
     * because its upstream had not crashed or they are old; returns whether there were any changes.
     */
    boolean record(String incarnation, String service, List<UpstreamCrash> told) {
        Set<Long> toldNumbers = told.stream().map(UpstreamCrash::number).collect(Collectors.toSet());
        boolean isChanged = crashes.removeIf(
                crash -> crash.incarnation().equals(incarnation) && !toldNumbers.contains(crash.number()));
        lastCrashBySidecar.computeIfPresent(
                incarnation, (key, last) -> toldNumbers.contains(last.number()) ? last : null);
        for (UpstreamCrash crash : told) {
            if (crash.number() > highestNumberBySidecar.getOrDefault(incarnation, 0L)
                    && crash.ageMilliseconds() < MAX_AGE_MILLISECONDS) {
                highestNumberBySidecar.put(incarnation, crash.number());
                KnownCrash known = new KnownCrash(
                        incarnation,
                        crash.number(),
                        service,
                        loop.monotonicMilliseconds() - crash.ageMilliseconds(),
                        crash.startChancePermille());
                crashes.add(known);
                lastCrashBySidecar.put(incarnation, known);
                isChanged = true;
            }
        }
        return isChanged;
    }

    /** Forgets crashes that are too old; returns whether there were any. */
    boolean forgetOld() {
        long oldest = loop.monotonicMilliseconds() - MAX_AGE_MILLISECONDS;
        return crashes.removeIf(crash -> crash.at() < oldest);
    }

    void forgetSidecar(String incarnation) {
        highestNumberBySidecar.remove(incarnation);
        lastCrashBySidecar.remove(incarnation);
    }

    /** Returns whether upstreams crashed at several moments lately. */
    boolean hasSeveralCrashes() {
        return services().stream().anyMatch(service -> chancesOfMoments(service).size() >= MIN_CRASHES);
    }

    /** Returns the queues that are taken for the cause of crashes on upstreams of a service. */
    Set<String> suspectedQueues(String service) {
        List<Map<String, Integer>> moments = chancesOfMoments(service);
        if (moments.size() < MIN_CRASHES) {
            return Set.of();
        }
        Map<String, Double> coincidences = new HashMap<>();
        moments.forEach(chances -> chances.keySet()
                .forEach(queue -> coincidences.computeIfAbsent(queue, key -> coincidence(key, moments))));
        double lowest = coincidences.values().stream().min(Double::compare).orElse(1.0);
        Set<String> queues = new HashSet<>();
        coincidences.forEach((queue, coincidence) -> {
            if (coincidence < MAX_FURTHER_COINCIDENCE || coincidence == lowest && coincidence < MAX_COINCIDENCE) {
                queues.add(queue);
            }
        });
        return queues;
    }

    /**
     * Returns whether the last crash that an incarnation of a sidecar told is explained by another queue than the given
     * one: a run of a queue that is taken for the cause of crashes was active there, and the given one is not such.
     */
    boolean isExplainedByOtherQueue(String incarnation, String service, String queue) {
        KnownCrash last = lastCrashBySidecar.get(incarnation);
        Set<String> suspected = suspectedQueues(service);
        return last != null
                && !suspected.contains(queue)
                && suspected.stream().anyMatch(last.startChancePermille()::containsKey);
    }

    /** Returns the chances at each moment with crashes on upstreams of a service; of several, the highest. */
    private List<Map<String, Integer>> chancesOfMoments(String service) {
        List<KnownCrash> known = crashes.stream()
                .filter(crash -> crash.service().equals(service))
                .sorted(Comparator.comparingLong(KnownCrash::at))
                .toList();
        List<Map<String, Integer>> moments = new ArrayList<>();
        long momentAt = Long.MIN_VALUE / 2;
        for (KnownCrash crash : known) {
            if (crash.at() - momentAt >= SAME_MOMENT_MILLISECONDS) {
                moments.add(new HashMap<>(crash.startChancePermille()));
                momentAt = crash.at();
            } else {
                Map<String, Integer> chances = moments.getLast();
                chances.keySet().retainAll(crash.startChancePermille().keySet());
                chances.replaceAll((queue, chance) ->
                        Math.max(chance, crash.startChancePermille().get(queue)));
            }
        }
        return moments;
    }

    /** Returns the services of upstreams that crashed. */
    Set<String> services() {
        Set<String> services = new HashSet<>();
        crashes.forEach(crash -> services.add(crash.service()));
        return services;
    }

    /** Returns the chance that a queue without a part in the crashes would fit them as well. */
    private static double coincidence(String queue, List<Map<String, Integer>> moments) {
        double logChances = 0;
        for (Map<String, Integer> chances : moments) {
            int chance = chances.getOrDefault(queue, (int) PERMILLE);
            logChances -= Math.log(Math.clamp(chance / PERMILLE, 1 / PERMILLE, 1));
        }
        // Upper tail of the chi-squared distribution with 2n degrees of freedom at twice the sum.
        double term = 1;
        double sum = 1;
        for (int number = 1; number < moments.size(); number++) {
            term *= logChances / number;
            sum += term;
        }
        return Math.exp(-logChances) * sum;
    }
}
