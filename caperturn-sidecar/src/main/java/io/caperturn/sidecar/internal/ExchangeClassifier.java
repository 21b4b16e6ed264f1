package io.caperturn.sidecar.internal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.TaskOutcome;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;

/** Derives the outcome of a task from the result of the HTTP exchange that sent it to the upstream. */
public final class ExchangeClassifier {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final String JSON_NULL = "null";
    private static final int MINIMUM_SUCCESS_STATUS = 200;
    private static final int MINIMUM_REDIRECT_STATUS = 300;

    private final Set<Integer> notStartedStatuses;

    /**
     * Creates a classifier.
     *
     * @param notStartedStatuses HTTP status codes that the upstream returns only if it did not start the task
     */
    public ExchangeClassifier(Set<Integer> notStartedStatuses) {
        this.notStartedStatuses = Set.copyOf(notStartedStatuses);
    }

    /**
     * Returns the outcome of a task.
     *
     * <p>A task is known not to have run only if the connection was refused, the request was never sent or the response
     * has one of the configured status codes. It is known to have run only if the status code is from 200 to 299. In
     * all other cases it may have run.
     *
     * <p>An empty body of a successful response stands for the JSON value {@code null}. If the body of such a response
     * is not valid JSON, the task has run and failed.
     *
     * @param result the result of the exchange
     * @param serviceTime the duration of the exchange
     * @return the outcome
     */
    public TaskOutcome classify(ExchangeResult result, Duration serviceTime) {
        return switch (result) {
            case ExchangeResult.ResponseReceived(int status, String body) -> classify(status, body, serviceTime);
            case ExchangeResult.ConnectionRefused(String detail) -> notRun("connection refused: " + detail);
            case ExchangeResult.AddressUnknown() -> notRun("no upstream address");
            case ExchangeResult.TimedOut() ->
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "timed out at the upstream", serviceTime);
            case ExchangeResult.ExchangeFailed(String detail) ->
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "incomplete exchange: " + detail, serviceTime);
        };
    }

    private TaskOutcome classify(int status, String body, Duration serviceTime) {
        if (status >= MINIMUM_SUCCESS_STATUS && status < MINIMUM_REDIRECT_STATUS) {
            return classifySuccess(body, serviceTime);
        }
        String reason = "upstream answered with status " + status;
        if (notStartedStatuses.contains(status)) {
            return notRun(reason);
        }
        return new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, reason, serviceTime);
    }

    private static TaskOutcome classifySuccess(String body, Duration serviceTime) {
        if (body.isBlank()) {
            return new TaskOutcome.Completed(JSON_NULL, serviceTime);
        }
        if (!isJson(body)) {
            return new TaskOutcome.Failed(Execution.RAN, "the upstream's result is not JSON", serviceTime);
        }
        return new TaskOutcome.Completed(body, serviceTime);
    }

    private static boolean isJson(String body) {
        try (JsonParser parser = JSON_FACTORY.createParser(body)) {
            parser.nextToken();
            parser.skipChildren();
            return parser.currentToken() != null && parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    private static TaskOutcome notRun(String reason) {
        return new TaskOutcome.Failed(Execution.NOT_RUN, reason, Duration.ZERO);
    }
}
