package io.caperturn.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.ExplainCommand;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.http.HttpResult;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpMethod;

/** Runs {@code explain} on a submission: queries entries (processes that accept submissions) until one knows it. */
public final class ExplainAction {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ExplainAction() {}

    /**
     * Prints the history of a submission in the form that the options choose.
     *
     * @param command the options
     * @param terminal the terminal to print to
     * @return {@link ExitCode#DONE} if an entry knows the submission, {@link ExitCode#FAILED} otherwise
     */
    public static ExitCode run(ExplainCommand command, Terminal terminal) {
        String path = "/v1/submissions/" + encodePathSegment(command.team()) + "/" + encodePathSegment(command.key());
        try (EntryHttpClient client = EntryHttpClient.open()) {
            for (String entry : command.entries()) {
                switch (client.send(HttpMethod.GET, "http://" + entry + path, TIMEOUT)) {
                    case HttpResult.Response response
                    when response.status() == OK -> {
                        print(entry, response.body(), command, terminal);
                        return ExitCode.DONE;
                    }
                    case HttpResult.Response response
                    when response.status() == NOT_FOUND ->
                        terminal.messages().println(entry + ": does not know the submission");
                    case HttpResult.Response response ->
                        terminal.messages().println(entry + ": status " + response.status() + " " + response.body());
                    case HttpResult.NotSent(String cause) -> terminal.messages().println(entry + ": " + cause);
                    case HttpResult.Unconfirmed(String cause) ->
                        terminal.messages().println(entry + ": " + cause);
                }
            }
        } catch (IOException e) {
            terminal.messages().println("caperturn explain: " + e.getMessage());
        }
        return ExitCode.FAILED;
    }

    private static void print(String entry, String body, ExplainCommand command, Terminal terminal)
            throws JsonProcessingException {
        if (command.isJson()) {
            terminal.output().println(body);
            return;
        }
        terminal.output().println("as entry " + entry + " recorded it");
        SubmissionHistoryResponse history = MAPPER.readValue(body, SubmissionHistoryResponse.class);
        boolean showsEvents = command.isEveryEventShown() || command.task().isPresent();
        List<String> lines =
                showsEvents ? Explanation.events(history, command.task().orElse(null)) : Explanation.summary(history);
        lines.forEach(terminal.output()::println);
    }

    private static String encodePathSegment(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
