package io.caperturn.entry.http;

import io.caperturn.kernel.EventLine;
import java.util.List;
import java.util.Objects;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handler that passes each request to the endpoint of the first route that matches its path. */
final class Router extends Handler.Abstract {
    private static final System.Logger LOGGER = System.getLogger(Router.class.getName());
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final List<Route> routes;

    Router(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Objects.requireNonNullElse(request.getHttpURI().getPath(), "");
        for (Route route : routes) {
            if (route.matches(path)) {
                handle(route.endpoint(), request, response, callback);
                return true;
            }
        }
        ResponseWriter.writeProblem(
                response, callback, ProblemDetails.badRequest(NOT_FOUND, "nothing is served at " + path));
        return true;
    }

    private static void handle(HttpEndpoint endpoint, Request request, Response response, Callback callback) {
        try {
            endpoint.handle(request, response, callback);
        } catch (java.io.IOException e) {
            callback.failed(e);
        } catch (Exception e) {
            LOGGER.log(
                    System.Logger.Level.ERROR,
                    EventLine.of("request-failed")
                            .with("path", request.getHttpURI().getPath())
                            .toString(),
                    e);
            ResponseWriter.writeProblem(
                    response, callback, ProblemDetails.badRequest(INTERNAL_SERVER_ERROR, "internal error"));
        }
    }

    /**
     * Path or prefix of paths with its endpoint.
     *
     * @param pathPattern a prefix of paths if it ends with a slash and is not the root, else an exact path
     * @param endpoint the handler of the requests
     */
    record Route(String pathPattern, HttpEndpoint endpoint) {
        boolean matches(String path) {
            return path.equals(pathPattern) || (isPrefix() && path.startsWith(pathPattern));
        }

        private boolean isPrefix() {
            return pathPattern.length() > 1 && pathPattern.endsWith("/");
        }
    }
}
