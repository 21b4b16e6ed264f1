package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;

/** One run as its sidecar knows it. */
final class LocalRun {
    /** A run that is this many times slower than expected still moves a hundredth of its way in the time allowed. */
    private static final long STILL_SHARE = 6;

    private final RunIdentity identity;
    private String owner = "";
    private String payload = "";
    private Resources need = Resources.NONE;
    private long work;
    private long startBy;
    private int urgency;
    private Phase phase = Phase.QUEUED;
    private RunOutcome outcome = RunOutcome.QUEUED;
    private String reason = "";
    private long startedAt;
    private long endedAt;
    private long endNumber;
    private long since;
    private boolean stopWanted;
    private long percent = -1;
    private long movedAt;
    private boolean toldStill;
    /** Whether its job outlives its owner; assumed of a run that was found at the upstream. */
    private boolean durable = true;

    LocalRun(RunIdentity identity, long since) {
        this.identity = identity;
        this.since = since;
    }

    /** Where a run stands at its sidecar. */
    enum Phase {
        QUEUED,
        STARTING,
        DOUBTFUL,
        RUNNING,
        ENDED
    }

    RunIdentity identity() {
        return identity;
    }

    String owner() {
        return owner;
    }

    void ownedBy(String incarnation, long now) {
        owner = incarnation;
        since = now;
    }

    void describe(String text, Resources room, long estimatedMilliseconds, long latestStart, int rank) {
        payload = text;
        need = room;
        work = room.processorMillis() * estimatedMilliseconds;
        startBy = latestStart;
        urgency = rank;
    }

    void durable(boolean stored) {
        durable = stored;
    }

    /** Tells whether its job outlives its owner. */
    boolean isDurable() {
        return durable;
    }

    String payload() {
        return payload;
    }

    Resources need() {
        return need;
    }

    long work() {
        return work;
    }

    long startBy() {
        return startBy;
    }

    int urgency() {
        return urgency;
    }

    Phase phase() {
        return phase;
    }

    boolean isIn(Phase wanted) {
        return phase == wanted;
    }

    void enter(Phase next) {
        phase = next;
        outcome = next == Phase.QUEUED ? RunOutcome.QUEUED : RunOutcome.RUNNING;
    }

    void starting(long now) {
        enter(Phase.STARTING);
        startedAt = now;
    }

    long startedAt() {
        return startedAt;
    }

    void end(RunOutcome how, String why, long number, long now) {
        phase = Phase.ENDED;
        outcome = how;
        reason = why;
        endNumber = number;
        endedAt = now;
        since = now;
    }

    RunOutcome outcome() {
        return outcome;
    }

    String reason() {
        return reason;
    }

    long endNumber() {
        return endNumber;
    }

    /** Tells how long it ran in milliseconds, 0 if that is not known. */
    long runMilliseconds() {
        return startedAt == 0 || phase != Phase.ENDED ? 0 : endedAt - startedAt;
    }

    long since() {
        return since;
    }

    /** Notes how far it is; gives true once if it has not moved for too long. */
    boolean standsStill(long seen, long now, long patience) {
        if (seen != percent) {
            percent = seen;
            movedAt = now;
        }
        boolean still = !toldStill && startedAt > 0 && now - movedAt > Math.max(patience, estimate() / STILL_SHARE);
        toldStill |= still;
        return still;
    }

    private long estimate() {
        return need.processorMillis() == 0 ? 0 : work / need.processorMillis();
    }

    boolean holdsRoom() {
        return phase == Phase.STARTING || phase == Phase.DOUBTFUL || phase == Phase.RUNNING;
    }

    void wantStop() {
        stopWanted = true;
    }

    boolean isStopWanted() {
        return stopWanted;
    }
}
