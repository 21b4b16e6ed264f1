package io.caperturn.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP endpoint of the page on which operators edit weights and limits, one HTML file with inline script and style. */
final class PageEndpoint implements HttpEndpoint {
    private static final String RESOURCE = "/io/caperturn/entry/page/index.html";
    private static final String CONTENT_SECURITY_POLICY =
            "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'; "
                    + "frame-ancestors 'none'";
    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final byte[] page;

    /** Loads the page from the resources. */
    PageEndpoint() {
        try (InputStream stream = PageEndpoint.class.getResourceAsStream(RESOURCE)) {
            page = stream.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read resource " + RESOURCE, e);
        }
    }

    @Override
    public void handle(Request request, Response response, Callback callback) {
        if (!HttpMethod.GET.is(request.getMethod())) {
            response.getHeaders().put("Allow", "GET");
            ResponseWriter.writeProblem(
                    response, callback, ProblemDetails.badRequest(METHOD_NOT_ALLOWED, "GET is allowed here"));
            return;
        }
        response.getHeaders().put("Content-Security-Policy", CONTENT_SECURITY_POLICY);
        ResponseWriter.write(response, callback, OK, "text/html;charset=utf-8", page);
    }
}
