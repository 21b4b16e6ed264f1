package io.caperturn.cli.status;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.TopCommand;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.table.TablePrinter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Runs {@code top}: asks each entry for what it sees. */
public final class TopAction {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    private final TopCommand command;
    private final Terminal terminal;

    private TopAction(TopCommand command, Terminal terminal) {
        this.command = command;
        this.terminal = terminal;
    }

    /**
     * Shows the state as the options say.
     *
     * @param command the options
     * @param terminal where it is shown
     * @return {@link ExitCode#DONE} if every entry told its state, {@link ExitCode#FAILED} otherwise
     */
    public static ExitCode run(TopCommand command, Terminal terminal) {
        TopAction action = new TopAction(command, terminal);
        try (EntryClient http = EntryClient.open()) {
            StatusClient client = new StatusClient(http);
            boolean complete = action.show(client);
            while (command.intervalMilliseconds() > 0) {
                Thread.sleep(command.intervalMilliseconds());
                if (terminal.interactive()) {
                    terminal.output().print(CLEAR_SCREEN);
                }
                complete = action.show(client);
            }
            return complete ? ExitCode.DONE : ExitCode.FAILED;
        } catch (IOException e) {
            terminal.messages().println("caperturn top: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }

    private boolean show(StatusClient client) {
        boolean complete = true;
        for (String entry : command.entries()) {
            switch (client.ask(entry)) {
                case StatusClient.Reply.Failed(String cause) -> {
                    terminal.messages().println(entry + ": " + cause);
                    complete = false;
                }
                case StatusClient.Reply.Told(SystemStatus ignored, String text)
                when command.json() -> terminal.output().println(text);
                case StatusClient.Reply.Told(SystemStatus status, String ignored) -> print(status);
            }
        }
        return complete;
    }

    private void print(SystemStatus status) {
        terminal.output()
                .println("entry " + status.entry() + " in " + text(status.availabilityZone()) + ": "
                        + text(status.state()) + ", table version " + text(status.tableVersion()) + " confirmed "
                        + text(status.tableAgeMilliseconds()) + " ms ago");
        List<List<String>> lines = new ArrayList<>();
        status.entries()
                .forEach(peer -> lines.add(List.of(
                        "entry",
                        text(peer.name()),
                        text(peer.availabilityZone()),
                        text(peer.state()),
                        text(peer.tableVersion()))));
        status.sidecars()
                .forEach(sidecar -> lines.add(List.of(
                        "sidecar",
                        text(sidecar.name()),
                        text(sidecar.availabilityZone()),
                        text(sidecar.state()),
                        text(sidecar.tableVersion()))));
        printTable(List.of("process", "name", "availabilityZone", "state", "tableVersion"), lines);
        printUpstreams(status.sidecars());
        printQueues(status.kinds());
    }

    private void printUpstreams(List<SystemStatus.Sidecar> sidecars) {
        List<List<String>> lines = new ArrayList<>();
        for (SystemStatus.Sidecar sidecar : sidecars) {
            SystemStatus.Upstream upstream = sidecar.upstream();
            if (upstream != null) {
                lines.add(List.of(
                        text(upstream.name()),
                        text(sidecar.name()),
                        text(upstream.state()),
                        String.join(" ", upstream.kinds()),
                        text(upstream.slots()),
                        text(sidecar.window()),
                        text(sidecar.outstanding()),
                        text(upstream.why())));
            }
        }
        printTable(List.of("upstream", "sidecar", "state", "kinds", "slots", "window", "outstanding", "why"), lines);
    }

    private void printQueues(List<SystemStatus.Queue> kinds) {
        List<List<String>> lines = new ArrayList<>();
        for (SystemStatus.Queue kind : kinds) {
            lines.add(List.of(
                    text(kind.kind()),
                    text(kind.urgency()),
                    text(kind.waiting()),
                    text(kind.running()),
                    text(kind.oldestWaitMilliseconds())));
        }
        printTable(List.of("kind", "urgency", "waiting", "running", "oldestWaitMilliseconds"), lines);
    }

    private void printTable(List<String> header, List<List<String>> lines) {
        if (lines.isEmpty()) {
            return;
        }
        List<List<String>> all = new ArrayList<>(List.of(header));
        all.addAll(lines);
        terminal.output().println();
        TablePrinter.print(all, terminal.output());
    }

    private static String text(Object value) {
        return Objects.toString(value, "");
    }
}
