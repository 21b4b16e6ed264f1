package io.caperturn.entry.http;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.entry.engine.EntryEventLoop;
import io.caperturn.entry.engine.WaiterRegistry;
import io.caperturn.entry.observe.EntryMetrics;
import io.caperturn.settings.EntrySettings.RequestBounds;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP endpoint of {@code POST /v1/jobs} and {@code POST /v1/requests}, which submit work.
 *
 * <p>A client marks a request as a resubmission if it may have sent the same work before.
 */
final class SubmitEndpoint implements HttpEndpoint {
    /** Resource that the endpoint serves. */
    enum Resource {
        /** Jobs of many tasks. */
        JOBS,
        /** Single requests. */
        REQUESTS
    }

    private static final int PAYLOAD_TOO_LARGE = 413;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

    private final Resource resource;
    private final EntryEventLoop eventLoop;
    private final WaiterRegistry waiters;
    private final RequestBounds bounds;
    private final SubmissionParser parser;
    private final EntryMetrics metrics;
    private final Clock clock;

    SubmitEndpoint(
            Resource resource,
            EntryEventLoop eventLoop,
            WaiterRegistry waiters,
            RequestBounds bounds,
            EntryMetrics metrics,
            Clock clock) {
        this.resource = resource;
        this.eventLoop = eventLoop;
        this.waiters = waiters;
        this.bounds = bounds;
        this.parser = new SubmissionParser(bounds);
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public void handle(Request request, Response response, Callback callback) throws Exception {
        if (!"POST".equals(request.getMethod())) {
            response.getHeaders().put("Allow", "POST");
            ResponseWriter.writeProblem(
                    response, callback, ProblemDetails.badRequest(METHOD_NOT_ALLOWED, "only POST is allowed here"));
            return;
        }
        Optional<byte[]> body = BodyReader.read(request, bounds.maximumBodyBytes());
        if (body.isEmpty()) {
            refuse(
                    response,
                    callback,
                    ProblemDetails.badRequest(
                            PAYLOAD_TOO_LARGE, "the body exceeds " + bounds.maximumBodyBytes() + " bytes"));
            return;
        }
        Optional<String> idempotencyKey =
                Optional.ofNullable(request.getHeaders().get("Idempotency-Key"));
        boolean resubmission = "true".equals(request.getHeaders().get("Caperturn-Resubmission"));
        SubmissionParseResult parseResult = switch (resource) {
            case JOBS -> parser.parseJob(body.get(), idempotencyKey, clock.instant());
            case REQUESTS -> parser.parseRequest(body.get(), idempotencyKey, clock.instant());
        };
        switch (parseResult) {
            case SubmissionParseResult.Invalid(int status, String detail) ->
                refuse(response, callback, ProblemDetails.badRequest(status, detail));
            case SubmissionParseResult.Valid(Submission submission) ->
                submit(submission, resubmission, request, response, callback);
        }
    }

    private void submit(
            Submission submission, boolean resubmission, Request request, Response response, Callback callback) {
        Executor executor = request.getComponents().getExecutor();
        long waiter =
                waiters.register((id, answer) -> executor.execute(() -> writeAnswer(response, callback, id, answer)));
        // The deadline of the submission limits the wait for its answer; the idle time-out of the connection does not.
        request.addIdleTimeoutListener(ignored -> false);
        request.addFailureListener(failure -> {
            if (waiters.remove(waiter).isPresent()) {
                eventLoop.offer(new EntryEvent.WaiterGone(submission.id(), waiter));
                callback.failed(failure);
            }
        });
        if (!eventLoop.offer(new EntryEvent.SubmissionArrived(submission, waiter, resubmission))) {
            // NOT_RUN would hold for all requests with the key, but an earlier one may have run a submission that needs
            // a
            // claim (stored record of its owner).
            waiters.remove(waiter)
                    .ifPresent(receiver -> receiver.onAnswer(
                            submission.id(),
                            new Answer.Failed(
                                    FailureReason.OVERLOADED,
                                    submission.needsClaim() ? Execution.ATTEMPT_NOT_RUN : Execution.NOT_RUN,
                                    "this entry is overloaded",
                                    Optional.of(OVERLOAD_RETRY_AFTER))));
        }
    }

    private void refuse(Response response, Callback callback, ProblemDetails problem) {
        metrics.countRefusal(problem.reason());
        ResponseWriter.writeProblem(response, callback, problem);
    }

    private void writeAnswer(Response response, Callback callback, SubmissionId submission, Answer answer) {
        if (answer instanceof Answer.Failed failed && failed.execution().isNotRun()) {
            metrics.countRefusal(ProblemDetails.of(submission, failed).reason());
        }
        switch (resource) {
            case JOBS -> AnswerWriter.writeJobAnswer(response, callback, submission, answer);
            case REQUESTS -> AnswerWriter.writeRequestAnswer(response, callback, submission, answer);
        }
    }
}
