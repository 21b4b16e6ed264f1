package io.caperturn.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.ExplainCommand;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.http.Exchange;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpMethod;

/** Runs {@code explain}: asks entries in turn until one knows the submission. */
public final class ExplainAction {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ExplainAction() {}

    /**
     * Explains as the options say.
     *
     * @param command the options
     * @param terminal where the explanation goes
     * @return {@link ExitCode#DONE} if an entry knows the submission, {@link ExitCode#FAILED} otherwise
     */
    public static ExitCode run(ExplainCommand command, Terminal terminal) {
        String path = "/v1/submissions/" + encode(command.team()) + "/" + encode(command.key());
        try (EntryClient client = EntryClient.open()) {
            for (String entry : command.entries()) {
                switch (client.send(HttpMethod.GET, "http://" + entry + path, TIMEOUT)) {
                    case Exchange.Replied reply
                    when reply.status() == OK -> {
                        print(entry, reply.body(), command, terminal);
                        return ExitCode.DONE;
                    }
                    case Exchange.Replied reply
                    when reply.status() == NOT_FOUND -> terminal.messages().println(entry + ": keeps nothing of it");
                    case Exchange.Replied reply ->
                        terminal.messages().println(entry + ": status " + reply.status() + " " + reply.body());
                    case Exchange.NotSent(String cause) -> terminal.messages().println(entry + ": " + cause);
                    case Exchange.Lost(String cause) -> terminal.messages().println(entry + ": " + cause);
                }
            }
        } catch (IOException e) {
            terminal.messages().println("caperturn explain: " + e.getMessage());
        }
        return ExitCode.FAILED;
    }

    private static void print(String entry, String body, ExplainCommand command, Terminal terminal)
            throws JsonProcessingException {
        if (command.json()) {
            terminal.output().println(body);
            return;
        }
        terminal.output().println("as entry " + entry + " saw it");
        SubmissionHistory history = MAPPER.readValue(body, SubmissionHistory.class);
        boolean events = command.all() || command.task().isPresent();
        List<String> lines =
                events ? Explanation.events(history, command.task().orElse(null)) : Explanation.summary(history);
        lines.forEach(terminal.output()::println);
    }

    private static String encode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
