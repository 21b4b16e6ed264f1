package io.caperturn.sidecar.internal;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.TaskOutcome;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;

/** Judgement on what an exchange with the upstream proves about the task. */
public final class ExchangeClassifier {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String EMPTY_RESULT = "null";
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_BELOW = 300;

    private final Set<Integer> notStartedStatuses;

    /**
     * Creates a classifier.
     *
     * @param notStartedStatuses statuses by which the upstream proves that it did not start the task
     */
    public ExchangeClassifier(Set<Integer> notStartedStatuses) {
        this.notStartedStatuses = Set.copyOf(notStartedStatuses);
    }

    /**
     * Classifies an exchange. Only a refused connection, a request that was never sent and a listed status prove that
     * the task did not start; only a success proves that it ran; anything else may have run.
     *
     * <p>A success without a body has the result {@code null}; one whose body is no JSON text ran and failed.
     *
     * @param end how the exchange ended
     * @param serviceTime the time between the start and the end
     * @return the outcome; {@link Execution#NOT_RUN} only on proof
     */
    public TaskOutcome classify(ExchangeEnd end, Duration serviceTime) {
        return switch (end) {
            case ExchangeEnd.Answered(int status, String body) -> classify(status, body, serviceTime);
            case ExchangeEnd.ConnectionRefused(String detail) -> notRun("connection refused: " + detail);
            case ExchangeEnd.NoAddress() -> notRun("no upstream address");
            case ExchangeEnd.TimedOut() ->
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "timed out at the upstream", serviceTime);
            case ExchangeEnd.Broken(String detail) ->
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "exchange broke: " + detail, serviceTime);
        };
    }

    private TaskOutcome classify(int status, String body, Duration serviceTime) {
        if (status >= SUCCESS_FROM && status < SUCCESS_BELOW) {
            return complete(body, serviceTime);
        }
        String reason = "upstream answered with status " + status;
        if (notStartedStatuses.contains(status)) {
            return notRun(reason);
        }
        return new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, reason, serviceTime);
    }

    private static TaskOutcome complete(String body, Duration serviceTime) {
        if (body.isBlank()) {
            return new TaskOutcome.Completed(EMPTY_RESULT, serviceTime);
        }
        if (!isJson(body)) {
            return new TaskOutcome.Failed(Execution.RAN, "the upstream's result is not JSON", serviceTime);
        }
        return new TaskOutcome.Completed(body, serviceTime);
    }

    private static boolean isJson(String body) {
        try (JsonParser parser = JSON.createParser(body)) {
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
