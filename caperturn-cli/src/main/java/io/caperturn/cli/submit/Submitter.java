package io.caperturn.cli.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.Exchange;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Sends a submission to entries in turn until it has an end.
 *
 * <p>It goes on to the next entry, and comes back later, only while it is proved that nothing ran: no connection was
 * made, or the entry refused with {@code not-run} and said when to come back. A doubtful end is reported and left to
 * the user, and the key never changes.
 */
public final class Submitter {
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<String> entries;
    private final Transport transport;
    private final Waiting waiting;

    /** Way to one entry. */
    @FunctionalInterface
    public interface Transport {
        /**
         * Sends the submission to an entry.
         *
         * @param entry the entry's address, {@code host:port}
         * @param submission the submission
         * @param remaining the time that is left of its deadline
         * @return how the exchange ended
         */
        Exchange send(String entry, Submission submission, Duration remaining);
    }

    /**
     * Creates a submitter.
     *
     * @param entries the entries' addresses in the order of trial, at least one
     * @param transport the way to an entry
     * @param waiting the source of time
     */
    public Submitter(List<String> entries, Transport transport, Waiting waiting) {
        this.entries = List.copyOf(entries);
        this.transport = transport;
        this.waiting = waiting;
    }

    /**
     * Submits and waits for the end.
     *
     * @param submission the submission
     * @return its end
     */
    public SubmitOutcome submit(Submission submission) {
        Duration giveUp = waiting.now().plus(submission.deadline());
        while (true) {
            SubmitOutcome outcome = tryEachEntry(submission, giveUp);
            Optional<Duration> pause = pauseAfter(outcome);
            if (pause.isEmpty() || waiting.now().plus(pause.get()).compareTo(giveUp) >= 0) {
                return outcome;
            }
            try {
                waiting.pause(pause.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return outcome;
            }
        }
    }

    private SubmitOutcome tryEachEntry(Submission submission, Duration giveUp) {
        SubmitOutcome soonest = null;
        for (String entry : entries) {
            Duration remaining = giveUp.minus(waiting.now());
            SubmitOutcome outcome = outcome(entry, transport.send(entry, submission, remaining), submission);
            if (!provesNothingRan(outcome)) {
                return outcome;
            }
            soonest = soonest == null ? outcome : sooner(soonest, outcome);
        }
        return soonest;
    }

    private static boolean provesNothingRan(SubmitOutcome outcome) {
        return outcome instanceof SubmitOutcome.NotSent || pauseAfter(outcome).isPresent();
    }

    private static SubmitOutcome sooner(SubmitOutcome first, SubmitOutcome second) {
        Optional<Duration> firstPause = pauseAfter(first);
        Optional<Duration> secondPause = pauseAfter(second);
        if (firstPause.isEmpty()) {
            return second;
        }
        return secondPause.isPresent() && secondPause.get().compareTo(firstPause.get()) < 0 ? second : first;
    }

    private static Optional<Duration> pauseAfter(SubmitOutcome outcome) {
        if (!(outcome instanceof SubmitOutcome.Refused(Problem problem)) || !problem.allowsRetry()) {
            return Optional.empty();
        }
        return problem.retryAfter().map(pause -> pause.compareTo(SHORTEST_PAUSE) < 0 ? SHORTEST_PAUSE : pause);
    }

    private static SubmitOutcome outcome(String entry, Exchange exchange, Submission submission) {
        return switch (exchange) {
            case Exchange.NotSent(String cause) -> new SubmitOutcome.NotSent(entry + ": " + cause);
            case Exchange.Lost(String cause) -> new SubmitOutcome.Unknown(entry + ": " + cause);
            case Exchange.Replied reply when reply.status() == 200 -> complete(entry, reply, submission);
            case Exchange.Replied reply -> problem(entry, reply);
        };
    }

    private static SubmitOutcome complete(String entry, Exchange.Replied reply, Submission submission) {
        try {
            JsonNode answer = MAPPER.readTree(reply.body());
            int results = answer.has("result") ? 1 : answer.path("results").size();
            if (results == submission.tasks()) {
                return new SubmitOutcome.Complete(reply.body());
            }
            return new SubmitOutcome.Unknown(
                    entry + ": the answer has " + results + " results for " + submission.tasks() + " tasks");
        } catch (JsonProcessingException e) {
            return new SubmitOutcome.Unknown(entry + ": the answer is no JSON");
        }
    }

    private static SubmitOutcome problem(String entry, Exchange.Replied reply) {
        return Problem.read(reply)
                .map(problem -> switch (problem.execution()) {
                    case NOT_RUN, ATTEMPT_NOT_RUN -> (SubmitOutcome) new SubmitOutcome.Refused(problem);
                    case RAN, MAY_HAVE_RUN -> new SubmitOutcome.Failed(problem);
                })
                .orElseGet(() ->
                        new SubmitOutcome.Unknown(entry + ": status " + reply.status() + " without problem details"));
    }
}
