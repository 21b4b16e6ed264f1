package io.caperturn.cli.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.ExplainPlacementCommand;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.http.HttpResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.http.HttpMethod;

/** Runs {@code explain-placement}: asks entries (processes that accept jobs) in turn until one answers. */
public final class ExplainPlacementAction {
    private static final String PATH = "/placement";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ExplainPlacementAction() {}

    /**
     * Prints the explanation of a placement in the form that the options choose.
     *
     * @param command the options
     * @param terminal the terminal to print to
     * @return {@link ExitCode#DONE} if an entry has explained it, whether or not it would refuse the job
     */
    public static ExitCode run(ExplainPlacementCommand command, Terminal terminal) {
        String body;
        try {
            body = MAPPER.writeValueAsString(request(command));
        } catch (IOException e) {
            terminal.messages().println("caperturn explain-placement: no job can be read: " + e.getMessage());
            return ExitCode.WRONG_USAGE;
        }
        ExitCode code = ExitCode.FAILED;
        try (EntryHttpClient client = EntryHttpClient.open()) {
            for (String entry : command.entries()) {
                code = ask(client, entry, body, command, terminal);
                if (code == ExitCode.DONE || code == ExitCode.WRONG_USAGE) {
                    return code;
                }
            }
        } catch (IOException e) {
            terminal.messages().println("caperturn explain-placement: " + e.getMessage());
        }
        return code;
    }

    private static ObjectNode request(ExplainPlacementCommand command) throws IOException {
        ObjectNode request = MAPPER.createObjectNode();
        command.queueFields().forEach(request::put);
        if (command.file().isEmpty()) {
            request.set("size", MAPPER.valueToTree(command.size()));
            return request;
        }
        String file = command.file().get();
        byte[] text = file.equals(ExplainPlacementCommand.STANDARD_INPUT)
                ? System.in.readAllBytes()
                : Files.readAllBytes(Path.of(file));
        JsonNode job = MAPPER.readTree(text);
        if (!job.isObject()) {
            throw new IOException("expected a JSON object in " + file);
        }
        request.set("job", job);
        return request;
    }

    private static ExitCode ask(
            EntryHttpClient client, String entry, String body, ExplainPlacementCommand command, Terminal terminal)
            throws JsonProcessingException {
        return switch (client.send(HttpMethod.POST, "http://" + entry + PATH, body, Map.of(), TIMEOUT)) {
            case HttpResult.Response response
            when response.status() == OK -> {
                print(entry, response.body(), command, terminal);
                yield ExitCode.DONE;
            }
            case HttpResult.Response response -> {
                terminal.messages()
                        .println(entry + ": status " + response.status() + " " + response.body()
                                + response.retryAfter()
                                        .map(seconds -> ", retry after " + seconds + " s")
                                        .orElse(""));
                yield switch (response.status()) {
                    case BAD_REQUEST, NOT_FOUND -> ExitCode.WRONG_USAGE;
                    case TOO_MANY_REQUESTS -> ExitCode.REFUSED;
                    default -> ExitCode.FAILED;
                };
            }
            case HttpResult.NotSent(String cause) -> {
                terminal.messages().println(entry + ": " + cause);
                yield ExitCode.FAILED;
            }
            case HttpResult.Unconfirmed(String cause) -> {
                terminal.messages().println(entry + ": " + cause);
                yield ExitCode.FAILED;
            }
        };
    }

    private static void print(String entry, String body, ExplainPlacementCommand command, Terminal terminal)
            throws JsonProcessingException {
        if (command.isJson()) {
            terminal.output().println(body);
            return;
        }
        terminal.output().println("as entry " + entry + " would do now; nothing was submitted");
        PlacementText.lines(MAPPER.readTree(body)).forEach(terminal.output()::println);
    }
}
