package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.List;
import java.util.function.Consumer;

/**
 * Port by which a sidecar process gives orders to its upstream; each call is answered exactly once, on the caller's
 * event loop. The upstream stops its active runs when their lease expires.
 */
public interface UpstreamPort {
    /**
     * Orders the start of a run.
     *
     * @param run the run
     * @param payload text passed to the task
     * @param order fields common to all orders
     * @param timeoutMilliseconds time after which the order counts as unanswered, in milliseconds
     * @param receiver receiver of the answer
     */
    void start(RunIdentity run, String payload, Order order, long timeoutMilliseconds, Consumer<Answer> receiver);

    /**
     * Orders the upstream to stop a run.
     *
     * @param run the run
     * @param order fields common to all orders; the lease is ignored
     * @param timeoutMilliseconds time after which the order counts as unanswered, in milliseconds
     * @param receiver receiver of the answer
     */
    void stop(RunIdentity run, Order order, long timeoutMilliseconds, Consumer<Answer> receiver);

    /**
     * Orders the upstream to hold (keep running) its active runs: extends their lease and acknowledges completions. The
     * upstream waits for a new completion, then lists the active runs and the remaining completions.
     *
     * @param order fields common to all orders
     * @param acknowledged number up to which the upstream may discard completions
     * @param waitMilliseconds maximum wait, in milliseconds
     * @param timeoutMilliseconds time after the maximum wait after which the order counts as unanswered, in
     *     milliseconds
     * @param receiver receiver of the answer
     */
    void hold(
            Order order, long acknowledged, long waitMilliseconds, long timeoutMilliseconds, Consumer<Answer> receiver);

    /**
     * Fields common to all orders.
     *
     * @param identity name of the addressed upstream; empty to address any upstream that answers
     * @param fenceToken fencing token of the sender; the upstream refuses a lower number than it has seen
     * @param leaseExpiryMilliseconds expiry of the lease on the upstream's clock, in milliseconds; 0 to extend no lease
     */
    record Order(String identity, long fenceToken, long leaseExpiryMilliseconds) {}

    /** Answer to an order. */
    sealed interface Answer {
        /**
         * The order was carried out.
         *
         * @param clock the upstream's clock, in milliseconds
         */
        record Accepted(long clock) implements Answer {}

        /**
         * Listing that answers a hold.
         *
         * @param clock the upstream's clock, in milliseconds
         * @param upstreamStartEpochMilliseconds when this incarnation of the upstream started, in milliseconds since
         *     1970; 0 if unknown
         * @param identity name of the upstream; empty if unknown
         * @param running active runs, with their progress
         * @param completions completions that are not yet discarded, in the order of their numbers
         * @param complete whether all retained completions are listed; if false, the upstream may list more of them
         *     once these are acknowledged
         */
        record Listing(
                long clock,
                long upstreamStartEpochMilliseconds,
                String identity,
                List<Running> running,
                List<Completion> completions,
                boolean complete)
                implements Answer {
            /** Copies the lists. */
            public Listing {
                running = List.copyOf(running);
                completions = List.copyOf(completions);
            }
        }

        /**
         * The order was refused and had no effect.
         *
         * @param reason why it was refused
         * @param clock the upstream's clock, in milliseconds; 0 if unknown
         */
        record Refused(Refusal reason, long clock) implements Answer {}

        /**
         * The order was not sent, for example because the connection was refused: it is never carried out.
         *
         * @param reason description of the fault
         */
        record NotSent(String reason) implements Answer {}

        /**
         * No answer arrived: the order may have been carried out, or may still be carried out later.
         *
         * @param reason description of the fault
         */
        record Unanswered(String reason) implements Answer {}
    }

    /** Reason for which an upstream refused an order. */
    enum Refusal {
        /** The upstream has seen a higher fencing token. */
        FENCED,
        /** The upstream already knows a run of that task with this number or a higher one. */
        OLD,
        /** The lease had expired before the order arrived. */
        LATE,
        /** The upstream has too few free resources. */
        ROOM,
        /** The upstream is not healthy. */
        UNHEALTHY,
        /** Another upstream, or another incarnation of the addressed one, answered. */
        OTHER_INSTANCE,
        /** The upstream could not read the order. */
        MALFORMED
    }

    /**
     * Active run in a listing.
     *
     * @param run the run
     * @param percent progress in percent
     */
    record Running(RunIdentity run, long percent) {}

    /**
     * Completion of a run, which the upstream retains until it is acknowledged.
     *
     * @param number number of the completion within this incarnation of the upstream
     * @param run the run
     * @param outcome outcome of the run
     */
    record Completion(long number, RunIdentity run, RunOutcome outcome) {}
}
