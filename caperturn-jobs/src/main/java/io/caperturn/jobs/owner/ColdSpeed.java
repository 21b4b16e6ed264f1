package io.caperturn.jobs.owner;

/**
 * Model of an upstream that is slow after its start: it is assumed to run at half speed until it is warm. It corrects
 * predictions only; nothing is learned from it.
 */
final class ColdSpeed {
    /** Assumed speed of a cold upstream, as a fraction of its speed once it is warm. */
    private static final double COLD_SPEED = 0.5;

    private ColdSpeed() {}

    /**
     * Predicts the duration of a run that starts now.
     *
     * @param warmMilliseconds duration of the run on the upstream once it is warm, in milliseconds
     * @param coldMilliseconds how much longer the upstream is cold, in milliseconds
     * @return the duration, in milliseconds
     */
    static long predictMilliseconds(long warmMilliseconds, long coldMilliseconds) {
        double slowMilliseconds = Math.min(coldMilliseconds, warmMilliseconds / COLD_SPEED);
        return Math.round(warmMilliseconds + (1 - COLD_SPEED) * slowMilliseconds);
    }

    /**
     * Returns the assumed speed of an upstream now.
     *
     * @param coldMilliseconds how much longer the upstream is cold, in milliseconds
     * @return the speed, as a fraction of that once it is warm
     */
    static double relativeSpeed(long coldMilliseconds) {
        return coldMilliseconds > 0 ? COLD_SPEED : 1;
    }
}
