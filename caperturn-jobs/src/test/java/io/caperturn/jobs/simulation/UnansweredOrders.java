package io.caperturn.jobs.simulation;

import java.util.Random;

/** Orders that a simulated upstream leaves unanswered and executes late; times are in milliseconds. */
final class UnansweredOrders {
    /** Delay after which an order of a share is executed. */
    private static final long LATE_MILLISECONDS = 3_000;

    private boolean cutOff;
    private long delayOfAll;
    private long delayOfHolds;
    private double holdShare;
    private Random holdChoice;
    private double share;
    private Random choice;

    /** Sets whether no order reaches the upstream and no answer leaves it; what runs there goes on. */
    void setCutOff(boolean newCutOff) {
        cutOff = newCutOff;
    }

    boolean isCutOff() {
        return cutOff;
    }

    /** Delays all start and stop orders; 0 restores normal execution. */
    void delayAll(long milliseconds) {
        delayOfAll = milliseconds;
    }

    /** Leaves a share of the holds unanswered, chosen by a seed, and executes them after a delay in milliseconds. */
    void delayHolds(long milliseconds, double newShare, long seed) {
        delayOfHolds = milliseconds;
        holdShare = newShare;
        holdChoice = new Random(seed);
    }

    /** Leaves a share of all orders unanswered, chosen by a seed. */
    void leaveUnanswered(double newShare, long seed) {
        share = newShare;
        choice = new Random(seed);
    }

    /** Returns after which time the next start or stop order is executed; 0 if it is answered. */
    long nextOrderDelay() {
        return delayOfAll > 0 ? delayOfAll : delayOfShare();
    }

    /** Returns after which time the next hold is executed; 0 if it is answered. */
    long nextHoldDelay() {
        return holdShare > 0 && holdChoice.nextDouble() < holdShare ? delayOfHolds : delayOfShare();
    }

    private long delayOfShare() {
        return share > 0 && choice.nextDouble() < share ? LATE_MILLISECONDS : 0;
    }
}
