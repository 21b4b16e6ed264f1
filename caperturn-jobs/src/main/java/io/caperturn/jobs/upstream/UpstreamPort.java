package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.List;
import java.util.function.Consumer;

/** Port to the upstream beside a sidecar; each call answers once, on the loop of the caller. */
public interface UpstreamPort {
    /**
     * Orders the start of a run.
     *
     * @param run the run
     * @param payload text for the task
     * @param order what every order carries
     * @param receiver receiver of the answer
     */
    void start(RunIdentity run, String payload, Order order, Consumer<Answer> receiver);

    /**
     * Orders the end of a run.
     *
     * @param run the run
     * @param order what every order carries; the lease is not used
     * @param receiver receiver of the answer
     */
    void stop(RunIdentity run, Order order, Consumer<Answer> receiver);

    /**
     * Extends the lease of all that runs, forgets ends, and lists what is left, after a wait for a new end.
     *
     * @param order what every order carries
     * @param acknowledged number of the last end that may be forgotten
     * @param waitMilliseconds longest wait, in milliseconds
     * @param receiver receiver of the answer
     */
    void hold(Order order, long acknowledged, long waitMilliseconds, Consumer<Answer> receiver);

    /**
     * What every order carries.
     *
     * @param identity the upstream that is meant; empty for whichever answers
     * @param fence fencing number of the sender
     * @param leaseUntil end of the lease on the upstream's clock, in milliseconds; 0 to extend nothing
     */
    record Order(String identity, long fence, long leaseUntil) {}

    /** Answer to an order. */
    sealed interface Answer {
        /**
         * The order was carried out.
         *
         * @param clock the upstream's clock, in milliseconds
         */
        record Accepted(long clock) implements Answer {}

        /**
         * The listing that a hold gives.
         *
         * @param clock the upstream's clock, in milliseconds
         * @param born when this life of the upstream began, in milliseconds since 1970; 0 if it doesn't say
         * @param identity name of the upstream; empty if it doesn't say
         * @param running what runs, with how far it is in percent
         * @param completions ends that are not yet forgotten, in the order of their numbers
         * @param complete false if there may be later ends, which are listed once the first are forgotten
         */
        record Listing(long clock, long born, String identity, List<Running> running, List<Completion> completions, boolean complete)
                implements Answer {
            /** Copies the lists. */
            public Listing {
                running = List.copyOf(running);
                completions = List.copyOf(completions);
            }
        }

        /**
         * Nothing was done.
         *
         * @param reason why
         * @param clock the upstream's clock, in milliseconds; 0 if it didn't say
         */
        record Refused(Refusal reason, long clock) implements Answer {}

        /**
         * No answer came: the order may have been carried out, or may be later.
         *
         * @param reason what was seen
         */
        record Unanswered(String reason) implements Answer {}
    }

    /** Why an upstream refused an order. */
    enum Refusal {
        /** A higher fencing number was seen there. */
        FENCED,
        /** A run of that task with this number or a higher one was there already. */
        OLD,
        /** The lease had ended before the order came. */
        LATE,
        /** It doesn't fit. */
        ROOM,
        /** It is not healthy. */
        UNHEALTHY,
        /** Another upstream, or another life of it, answers there. */
        OTHER_INSTANCE,
        /** It didn't understand the order. */
        MALFORMED
    }

    /**
     * A run that is at work.
     *
     * @param run the run
     * @param percent how far it is
     */
    record Running(RunIdentity run, long percent) {}

    /**
     * An end that an upstream remembers.
     *
     * @param number its number in this life of the upstream
     * @param run the run
     * @param outcome how it ended
     */
    record Completion(long number, RunIdentity run, RunOutcome outcome) {}
}
