package io.caperturn.jobs.owner;

/** Reason why a task cannot be sent to a sidecar, even if the sidecar's upstream has free capacity. */
public enum ExclusionReason {
    /** No task may be started in the availability zone of the sidecar. */
    ZONE_EVACUATED,
    /** The sidecar has no link, has sent no status, or accepts no new tasks. */
    UNUSABLE,
    /** The upstream is ejected after repeated failures, or its probe still runs. */
    EJECTED,
    /** The upstream runs tasks of another service (kind). */
    WRONG_SERVICE,
    /** The whole capacity of the upstream is less than the task needs. */
    TOO_SMALL,
    /** The upstream lacks the label that the step requires. */
    LABEL_MISSING,
    /** The task would be the probe of an ejected upstream, is at its last allowed attempt, and may run elsewhere. */
    LAST_ATTEMPT_PROBE,
    /** Either the queue of the task or the instance is set apart, because tasks of some queues crash upstreams. */
    CONFINEMENT,
    /** The upstream has as many tasks of the step as the step allows on one upstream. */
    STEP_LIMIT;

    private final Candidacy.Excluded candidacy = new Candidacy.Excluded(this);

    /** Returns the candidacy of a sidecar that is excluded for this reason. */
    Candidacy.Excluded candidacy() {
        return candidacy;
    }
}
