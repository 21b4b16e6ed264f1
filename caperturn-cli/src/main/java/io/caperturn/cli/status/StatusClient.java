package io.caperturn.cli.status;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.http.Exchange;
import java.time.Duration;
import org.eclipse.jetty.http.HttpMethod;

/** Client of the entries' view of the system. */
public final class StatusClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryClient client;

    /**
     * Creates a client.
     *
     * @param client the way to entries
     */
    public StatusClient(EntryClient client) {
        this.client = client;
    }

    /** What an entry replied. */
    public sealed interface Reply {
        /**
         * It told its view.
         *
         * @param status the view
         * @param text the same as JSON text
         */
        record Told(SystemStatus status, String text) implements Reply {}

        /**
         * It did not.
         *
         * @param cause one line for people
         */
        record Failed(String cause) implements Reply {}
    }

    /**
     * Asks an entry.
     *
     * @param entry its address, {@code host:port}
     * @return what it replied
     */
    public Reply ask(String entry) {
        return switch (client.send(HttpMethod.GET, "http://" + entry + "/v1/status", TIMEOUT)) {
            case Exchange.Replied reply when reply.status() == OK -> read(reply.body());
            case Exchange.Replied reply -> new Reply.Failed("status " + reply.status());
            case Exchange.NotSent(String cause) -> new Reply.Failed(cause);
            case Exchange.Lost(String cause) -> new Reply.Failed(cause);
        };
    }

    private static Reply read(String body) {
        try {
            return new Reply.Told(MAPPER.readValue(body, SystemStatus.class), body);
        } catch (JsonProcessingException e) {
            return new Reply.Failed("the reply can't be read: " + e.getOriginalMessage());
        }
    }
}
