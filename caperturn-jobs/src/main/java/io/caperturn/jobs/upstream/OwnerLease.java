package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import java.util.HashMap;
import java.util.Map;

/** An entry, and the time until which its orders count. */
final class OwnerLease {
    /** How many requests to go on are remembered: far more than can be under way. */
    private static final long REMEMBERED_RENEWALS = 128;

    private final String incarnation;
    private final SidecarTimings settings;
    private final Map<Long, Long> asked = new HashMap<>();
    private boolean linked;
    private long heardAt;
    private long authorityAt;
    private long dispatchesSeen;

    OwnerLease(String incarnation, SidecarTimings settings) {
        this.incarnation = incarnation;
        this.settings = settings;
    }

    void reset(long now) {
        linked = true;
        dispatchesSeen = 0;
        asked.clear();
        heardAt = Math.max(heardAt, now);
        authorityAt = Math.max(authorityAt, now);
    }

    /** Forgets all signs of life, which may be older than this process's clock tells. */
    void distrust() {
        heardAt = Long.MIN_VALUE / 2;
        authorityAt = Long.MIN_VALUE / 2;
        asked.clear();
    }

    String incarnation() {
        return incarnation;
    }

    boolean isLinked() {
        return linked;
    }

    void unlinked() {
        linked = false;
    }

    long heardAt() {
        return heardAt;
    }

    long dispatchesSeen() {
        return dispatchesSeen;
    }

    void saw(long sequence) {
        dispatchesSeen = Math.max(dispatchesSeen, sequence);
    }

    /** Tells whether a waiting run may start now. */
    boolean mayStart(LocalRun run, long now) {
        return now < (run.isDurable() ? authorityAt : heardAt) + settings.startAuthorityMilliseconds();
    }

    void asked(long number, long when) {
        asked.put(number, when);
        asked.keySet().removeIf(old -> old <= number - REMEMBERED_RENEWALS);
    }

    /** Takes a sign of life; gives true if it is newer than the last. */
    boolean renewed(JobFrame.Lease lease) {
        Long when = asked.remove(lease.renewal());
        if (when != null && when > heardAt) {
            heardAt = when;
            if (lease.authority()) {
                authorityAt = when;
            }
            return true;
        }
        return false;
    }

    /** Gives the time at which this owner's authority over a run ends, unless it is renewed. */
    long authorityOver(LocalRun run) {
        return run.isDurable()
                ? authorityAt + settings.runAuthorityMilliseconds()
                : heardAt + settings.transientAuthorityMilliseconds();
    }
}
