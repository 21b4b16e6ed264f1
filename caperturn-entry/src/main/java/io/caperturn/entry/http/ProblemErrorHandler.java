package io.caperturn.entry.http;

import java.util.Objects;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Error handler that responds with problem details to a request that the server rejects before an endpoint gets it. */
final class ProblemErrorHandler extends ErrorHandler {
    @Override
    protected void generateResponse(
            Request request, Response response, int code, String message, Throwable cause, Callback callback) {
        ResponseWriter.writeProblem(
                response,
                callback,
                ProblemDetails.badRequest(code, Objects.requireNonNullElse(message, "bad request")));
    }
}
