package io.caperturn.jobs.owner;

/**
 * Cost of running a task on an upstream, in milliseconds by cause; a task is sent where the total is lowest.
 *
 * @param expectedRunMilliseconds expected duration of the run
 * @param loadMilliseconds penalty that grows with the used fraction of the upstream's capacity
 * @param earlierFailuresMilliseconds penalty for earlier failures of the task there, or of the upstream
 */
record PlacementCost(long expectedRunMilliseconds, double loadMilliseconds, double earlierFailuresMilliseconds) {
    /** Returns the sum over all causes, in milliseconds. */
    double total() {
        return expectedRunMilliseconds + loadMilliseconds + earlierFailuresMilliseconds;
    }
}
