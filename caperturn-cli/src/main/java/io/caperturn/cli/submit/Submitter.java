package io.caperturn.cli.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.HttpResult;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Sends a submission to entries (processes that accept submissions) in turn until it has an outcome.
 *
 * <p>The next entry is tried only if the present try started nothing: no connection could be opened, or the entry
 * refused with {@code not-run} or {@code attempt-not-run} (an earlier try may have started the work) and gave a time
 * for a retry. If no entry accepts, all are tried again after the shortest such time. An unknown outcome is left to the
 * user. All tries use the same idempotency key.
 */
public final class Submitter {
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<String> entryAddresses;
    private final Transport transport;
    private final RetryClock clock;

    /** Transport of submissions to an entry. */
    @FunctionalInterface
    public interface Transport {
        /**
         * Sends a submission to an entry and waits for the response.
         *
         * @param entry the address of the entry, {@code host:port}
         * @param submission the submission
         * @param remaining the time remaining until the deadline
         * @return the result of the HTTP request
         */
        HttpResult send(String entry, SubmissionRequest submission, Duration remaining);
    }

    /**
     * Creates a submitter.
     *
     * @param entryAddresses the addresses of the entry processes in the order in which they are tried, at least one
     * @param transport the transport to entry processes
     * @param clock the clock for deadlines and retry delays
     */
    public Submitter(List<String> entryAddresses, Transport transport, RetryClock clock) {
        this.entryAddresses = List.copyOf(entryAddresses);
        this.transport = transport;
        this.clock = clock;
    }

    /**
     * Sends the submission, with retries until the deadline, and waits for the outcome.
     *
     * @param submission the submission
     * @return the outcome
     */
    public SubmitOutcome submit(SubmissionRequest submission) {
        Duration deadline = clock.now().plus(submission.deadline());
        while (true) {
            SubmitOutcome outcome = tryEachEntry(submission, deadline);
            Optional<Duration> delay = retryDelay(outcome);
            if (delay.isEmpty() || clock.now().plus(delay.get()).compareTo(deadline) >= 0) {
                return outcome;
            }
            try {
                clock.sleep(delay.get());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return outcome;
            }
        }
    }

    /** Returns the first outcome that excludes a retry, or else the one that allows the earliest retry. */
    private SubmitOutcome tryEachEntry(SubmissionRequest submission, Duration deadline) {
        SubmitOutcome earliestRetry = null;
        for (String entry : entryAddresses) {
            Duration remaining = deadline.minus(clock.now());
            SubmitOutcome outcome = toOutcome(entry, transport.send(entry, submission, remaining), submission);
            if (!isSafeToRetry(outcome)) {
                return outcome;
            }
            earliestRetry = earliestRetry == null ? outcome : withEarlierRetry(earliestRetry, outcome);
        }
        return earliestRetry;
    }

    private static boolean isSafeToRetry(SubmitOutcome outcome) {
        return outcome instanceof SubmitOutcome.NotSent || retryDelay(outcome).isPresent();
    }

    /** Returns the outcome with the shorter retry delay; one without a delay counts as longer. */
    private static SubmitOutcome withEarlierRetry(SubmitOutcome first, SubmitOutcome second) {
        Optional<Duration> firstDelay = retryDelay(first);
        Optional<Duration> secondDelay = retryDelay(second);
        if (firstDelay.isEmpty()) {
            return second;
        }
        return secondDelay.isPresent() && secondDelay.get().compareTo(firstDelay.get()) < 0 ? second : first;
    }

    private static Optional<Duration> retryDelay(SubmitOutcome outcome) {
        if (!(outcome instanceof SubmitOutcome.Refused(SubmissionProblem problem)) || !problem.isRetryAllowed()) {
            return Optional.empty();
        }
        return problem.retryAfter()
                .map(delay -> delay.compareTo(MINIMUM_RETRY_DELAY) < 0 ? MINIMUM_RETRY_DELAY : delay);
    }

    private static SubmitOutcome toOutcome(String entry, HttpResult result, SubmissionRequest submission) {
        return switch (result) {
            case HttpResult.NotSent(String cause) -> new SubmitOutcome.NotSent(entry + ": " + cause);
            case HttpResult.Unconfirmed(String cause) -> new SubmitOutcome.Unknown(entry + ": " + cause);
            case HttpResult.Response response
            when response.status() == 200 -> toCompleteOutcome(entry, response, submission);
            case HttpResult.Response response -> toProblemOutcome(entry, response);
        };
    }

    private static SubmitOutcome toCompleteOutcome(
            String entry, HttpResult.Response response, SubmissionRequest submission) {
        try {
            JsonNode answer = MAPPER.readTree(response.body());
            int results = answer.has("result") ? 1 : answer.path("results").size();
            if (results == submission.tasks()) {
                return new SubmitOutcome.Complete(response.body());
            }
            return new SubmitOutcome.Unknown(
                    entry + ": the answer has " + results + " results for " + submission.tasks() + " tasks");
        } catch (JsonProcessingException e) {
            return new SubmitOutcome.Unknown(entry + ": the answer is not valid JSON");
        }
    }

    private static SubmitOutcome toProblemOutcome(String entry, HttpResult.Response response) {
        return SubmissionProblem.read(response)
                .map(problem -> switch (problem.execution()) {
                    case NOT_RUN, ATTEMPT_NOT_RUN -> (SubmitOutcome) new SubmitOutcome.Refused(problem);
                    case RAN, MAY_HAVE_RUN -> new SubmitOutcome.Failed(problem);
                })
                .orElseGet(() -> new SubmitOutcome.Unknown(
                        entry + ": status " + response.status() + " without problem details"));
    }
}
