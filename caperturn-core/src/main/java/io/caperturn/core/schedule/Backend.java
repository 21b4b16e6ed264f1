package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.util.ArrayList;
import java.util.List;

/** What the scheduler knows of one sidecar and its upstream. */
final class Backend {
    private static final int MAXIMUM_DOUBLINGS = 6;
    private static final double OVERHEAD_SMOOTHING = 0.1;

    private final ProcessId sidecar;
    private final int sequence;
    private final List<KindPool.Seat> seats = new ArrayList<>();
    private final SpeedModel.OverallSpeed speed;
    private UpstreamDescription upstream;
    private int overdue;
    private double overdueFactor = 1;
    private boolean linked;
    private boolean serving;
    private int window;
    private int outstanding;
    private double overheadSeconds;
    private int allowance;
    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntil = Long.MIN_VALUE;
    private boolean ejected;
    private boolean full;
    private long fullUntil = Long.MIN_VALUE;
    private int refusals;
    private boolean probing;
    private SubmissionId lastFailed;
    private double completions;
    private double failures;

    Backend(
            ProcessId sidecar,
            int sequence,
            UpstreamDescription upstream,
            int allowance,
            SpeedModel.OverallSpeed speed) {
        this.speed = speed;
        this.sidecar = sidecar;
        this.sequence = sequence;
        this.upstream = upstream;
        this.allowance = allowance;
    }

    ProcessId sidecar() {
        return sidecar;
    }

    int sequence() {
        return sequence;
    }

    List<KindPool.Seat> seats() {
        return seats;
    }

    UpstreamDescription upstream() {
        return upstream;
    }

    boolean linked() {
        return linked;
    }

    boolean serving() {
        return serving;
    }

    int outstanding() {
        return outstanding;
    }

    boolean probing() {
        return probing;
    }

    boolean ejected() {
        return ejected;
    }

    long ejectedUntil() {
        return ejectedUntil;
    }

    /** Returns how many placements may be outstanding here. */
    int capacity() {
        if (!serving || ejected || full) {
            return 0;
        }
        int usable = Math.min(window, Math.min(upstream.slots(), allowance));
        return probing ? Math.min(1, usable) : usable;
    }

    boolean hasFreeSlot() {
        return outstanding < capacity();
    }

    /** Returns the part of the usable places that one more task would take up. */
    double load() {
        return (outstanding + 1.0) / Math.max(1, capacity());
    }

    void change(UpstreamDescription newer, boolean nowServing, int newWindow) {
        if (allowance >= upstream.slots()) {
            allowance = newer.slots();
        }
        upstream = newer;
        linked = true;
        serving = nowServing;
        window = newWindow;
    }

    void windowChanged(int newWindow) {
        window = newWindow;
    }

    void unlinked() {
        linked = false;
        serving = false;
        window = 0;
    }

    void placed() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }

    SpeedModel.OverallSpeed speed() {
        return speed;
    }

    /** Returns the largest multiple of its expected time that an overdue task runs here, 1 if there is none. */
    double overdueFactor() {
        return overdueFactor;
    }

    /** Notes that a task here runs for some multiple of its expected time, for the first time or again. */
    void overdue(boolean first, double factor) {
        overdue += first ? 1 : 0;
        overdueFactor = Math.max(overdueFactor, factor);
    }

    /** Notes that an overdue task ended, after which its measured time counts instead. */
    void overdueEnded() {
        overdue--;
        if (overdue == 0) {
            overdueFactor = 1;
        }
    }

    /** Returns the mean time that a placement spends on links and in the sidecar's queue, in seconds. */
    double overheadSeconds() {
        return overheadSeconds;
    }

    void observeOverhead(double seconds) {
        overheadSeconds += OVERHEAD_SMOOTHING * (Math.max(0, seconds) - overheadSeconds);
    }

    void succeeded() {
        completions++;
        refusals = 0;
        consecutiveFailures = 0;
        lastFailed = null;
        if (probing) {
            probing = false;
            ejections = 0;
            allowance = 1;
        }
        allowance = Math.min(upstream.slots(), allowance + 1);
    }

    /** Notes a failure and returns true unless the same submission failed here just before. */
    boolean failed(SubmissionId submission) {
        if (submission.equals(lastFailed)) {
            return false;
        }
        lastFailed = submission;
        failures++;
        consecutiveFailures++;
        allowance = Math.max(1, allowance / 2);
        return true;
    }

    SchedulerView.BackendView view() {
        SchedulerView.BackendStatus treatment = SchedulerView.BackendStatus.USED;
        if (ejected()) {
            treatment = SchedulerView.BackendStatus.EJECTED;
        } else if (probing()) {
            treatment = SchedulerView.BackendStatus.PROBED;
        } else if (isFull()) {
            treatment = SchedulerView.BackendStatus.FULL;
        }
        return new SchedulerView.BackendView(sidecar, treatment, window, outstanding(), consecutiveFailures());
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Puts the back end on probation: single tasks probe it from the given time until one succeeds. */
    void suspect(long firstProbe) {
        probing = true;
        ejectedUntil = firstProbe;
    }

    /** Ends a probation whose cause was not the back end. */
    void clear() {
        probing = ejected;
    }

    /** Keeps all work away until a time, after which single tasks probe the back end. */
    void eject(long now, SchedulerPolicy.Health policy) {
        long first = policy.firstEjection().toNanos();
        long length = Math.min(policy.longestEjection().toNanos(), first << Math.min(ejections, 20));
        ejections++;
        probing = true;
        ejected = true;
        ejectedUntil = now + length;
    }

    boolean isFull() {
        return full;
    }

    long fullUntil() {
        return fullUntil;
    }

    /** Notes that the sidecar refused a task, after which it is left alone, for longer each time. */
    void refused(long now, SchedulerPolicy.Health policy) {
        full = true;
        fullUntil = now + (policy.refusalPause().toNanos() << Math.min(refusals, MAXIMUM_DOUBLINGS));
        refusals++;
    }

    /** Ends the pause after a refusal. */
    void retry() {
        full = false;
    }

    /** Ends the ejection; single tasks probe the back end from now on. */
    void probe() {
        ejected = false;
    }

    /** Lets outcomes of the past count half as much. */
    void halveOutcomes() {
        completions /= 2;
        failures /= 2;
    }

    double completions() {
        return completions;
    }

    double failures() {
        return failures;
    }
}
