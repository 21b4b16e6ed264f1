package io.caperturn.cli;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP server that stands in for an entry (process that accepts submissions) and returns scripted responses by method
 * and path.
 */
public final class FakeEntryServer extends Handler.Abstract {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, /* acceptors= */ 1, /* selectors= */ 1);
    private final Map<String, ScriptedResponse> responses = new ConcurrentHashMap<>();
    private volatile String lastRequestBody = "";

    private FakeEntryServer() {}

    private record ScriptedResponse(int status, String body) {}

    /**
     * Starts a server on a free port.
     *
     * @return the server
     * @throws Exception if the server can't start
     */
    public static FakeEntryServer open() throws Exception {
        FakeEntryServer entry = new FakeEntryServer();
        entry.connector.setHost("127.0.0.1");
        entry.server.addConnector(entry.connector);
        entry.server.setHandler(entry);
        entry.server.start();
        return entry;
    }

    /** Stops the server. */
    public void close() throws Exception {
        server.stop();
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address, {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    /**
     * Sets the response to a call; other calls get status 404.
     *
     * @param call the method and the path, separated by a blank
     * @param status the HTTP status
     * @param body the body
     */
    public void setResponse(String call, int status, String body) {
        responses.put(call, new ScriptedResponse(status, body));
    }

    /**
     * Returns the body of the last request that the server received.
     *
     * @return the body, empty if there was no request
     */
    public String lastRequestBody() {
        return lastRequestBody;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        lastRequestBody = Content.Source.asString(request);
        String call = request.getMethod() + " " + request.getHttpURI().getPath();
        ScriptedResponse scripted = responses.getOrDefault(call, new ScriptedResponse(404, "{}"));
        response.setStatus(scripted.status());
        Content.Sink.write(response, /* last= */ true, scripted.body(), callback);
        return true;
    }
}
