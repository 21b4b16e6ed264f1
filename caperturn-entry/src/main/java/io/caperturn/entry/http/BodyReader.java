package io.caperturn.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reader of request bodies of limited size. */
public final class BodyReader {
    private BodyReader() {}

    /**
     * Reads a request body; blocks until it has arrived.
     *
     * @param request the request
     * @param maximumBytes the maximum size of a body, in bytes
     * @return the body, or empty if it is larger
     * @throws IOException if the client closes the connection or sends a malformed body
     */
    public static Optional<byte[]> read(Request request, int maximumBytes) throws IOException {
        if (request.getLength() > maximumBytes) {
            return Optional.empty();
        }
        try (InputStream stream = Content.Source.asInputStream(request)) {
            byte[] body = stream.readNBytes(maximumBytes + 1);
            return body.length > maximumBytes ? Optional.empty() : Optional.of(body);
        }
    }
}
