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

/** Stand-in for an entry that gives scripted answers by method and path. */
public final class FakeEntry extends Handler.Abstract {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final Map<String, Scripted> answers = new ConcurrentHashMap<>();
    private volatile String lastBody = "";

    private FakeEntry() {}

    private record Scripted(int status, String body) {}

    /**
     * Starts the stand-in on a free port.
     *
     * @return the stand-in
     * @throws Exception if it can't start
     */
    public static FakeEntry open() throws Exception {
        FakeEntry entry = new FakeEntry();
        entry.connector.setHost("127.0.0.1");
        entry.server.addConnector(entry.connector);
        entry.server.setHandler(entry);
        entry.server.start();
        return entry;
    }

    /** Stops the stand-in. */
    public void close() throws Exception {
        server.stop();
    }

    /**
     * Returns where it listens.
     *
     * @return the address, {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    /**
     * Sets an answer.
     *
     * @param call method and path
     * @param status the status
     * @param body the body
     */
    public void answer(String call, int status, String body) {
        answers.put(call, new Scripted(status, body));
    }

    /**
     * Returns the last body that it received.
     *
     * @return the body
     */
    public String lastBody() {
        return lastBody;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        lastBody = Content.Source.asString(request);
        String call = request.getMethod() + " " + request.getHttpURI().getPath();
        Scripted scripted = answers.getOrDefault(call, new Scripted(404, "{}"));
        response.setStatus(scripted.status());
        Content.Sink.write(response, true, scripted.body(), callback);
        return true;
    }
}
