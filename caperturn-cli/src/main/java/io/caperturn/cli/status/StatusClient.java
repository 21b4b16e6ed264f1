package io.caperturn.cli.status;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.http.HttpResult;
import java.time.Duration;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client that asks an entry (process that accepts submissions) for the state of all processes and queues that it knows.
 */
public final class StatusClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryHttpClient client;

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     */
    public StatusClient(EntryHttpClient client) {
        this.client = client;
    }

    /** Result of reading the status of an entry. */
    public sealed interface StatusResult {
        /**
         * The entry reported its status.
         *
         * @param status the parsed status
         * @param text the status as JSON
         */
        record Received(SystemStatus status, String text) implements StatusResult {}

        /**
         * The status could not be read.
         *
         * @param cause a description of the failure in one line
         */
        record Failed(String cause) implements StatusResult {}
    }

    /**
     * Reads the status of an entry.
     *
     * @param entry the address of the entry, {@code host:port}
     * @return the status, or why it could not be read
     */
    public StatusResult fetch(String entry) {
        return switch (client.send(HttpMethod.GET, "http://" + entry + "/v1/status", TIMEOUT)) {
            case HttpResult.Response response when response.status() == OK -> parse(response.body());
            case HttpResult.Response response -> new StatusResult.Failed("status " + response.status());
            case HttpResult.NotSent(String cause) -> new StatusResult.Failed(cause);
            case HttpResult.Unconfirmed(String cause) -> new StatusResult.Failed(cause);
        };
    }

    private static StatusResult parse(String body) {
        try {
            return new StatusResult.Received(MAPPER.readValue(body, SystemStatus.class), body);
        } catch (JsonProcessingException e) {
            return new StatusResult.Failed("the response can't be parsed: " + e.getOriginalMessage());
        }
    }
}
