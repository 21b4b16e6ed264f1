package io.caperturn.cli.status;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.TopCommand;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.table.TablePrinter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Runs {@code top}: prints the system status that each entry reports. */
public final class TopAction {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";

    private final TopCommand command;
    private final Terminal terminal;

    private TopAction(TopCommand command, Terminal terminal) {
        this.command = command;
        this.terminal = terminal;
    }

    /**
     * Prints the status once, or repeatedly until interrupted if an interval is given.
     *
     * @param command the options
     * @param terminal the terminal to print to
     * @return {@link ExitCode#DONE} if every entry reported its status or the wait was interrupted,
     *     {@link ExitCode#FAILED} otherwise
     */
    public static ExitCode run(TopCommand command, Terminal terminal) {
        TopAction action = new TopAction(command, terminal);
        try (EntryHttpClient http = EntryHttpClient.open()) {
            StatusClient client = new StatusClient(http);
            boolean complete = action.showAll(client);
            while (command.intervalMilliseconds() > 0) {
                Thread.sleep(command.intervalMilliseconds());
                if (terminal.interactive()) {
                    terminal.output().print(CLEAR_SCREEN);
                }
                complete = action.showAll(client);
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

    private boolean showAll(StatusClient client) {
        boolean complete = true;
        for (String entry : command.entries()) {
            switch (client.fetch(entry)) {
                case StatusClient.StatusResult.Failed(String cause) -> {
                    terminal.messages().println(entry + ": " + cause);
                    complete = false;
                }
                case StatusClient.StatusResult.Received(SystemStatus ignored, String text)
                when command.isJson() -> terminal.output().println(text);
                case StatusClient.StatusResult.Received(SystemStatus status, String ignored) -> print(status);
            }
        }
        return complete;
    }

    private void print(SystemStatus status) {
        terminal.output()
                .println("entry " + status.entry() + " in " + format(status.availabilityZone()) + ": "
                        + format(status.state()) + ", table version " + format(status.tableVersion()) + " confirmed "
                        + format(status.tableAgeMilliseconds()) + " ms ago");
        List<List<String>> lines = new ArrayList<>();
        status.entries()
                .forEach(peer -> lines.add(List.of(
                        "entry",
                        format(peer.name()),
                        format(peer.availabilityZone()),
                        format(peer.state()),
                        format(peer.tableVersion()))));
        status.sidecars()
                .forEach(sidecar -> lines.add(List.of(
                        "sidecar",
                        format(sidecar.name()),
                        format(sidecar.availabilityZone()),
                        format(sidecar.state()),
                        format(sidecar.tableVersion()))));
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
                        format(upstream.name()),
                        format(sidecar.name()),
                        format(upstream.state()),
                        String.join(" ", upstream.kinds()),
                        format(upstream.slots()),
                        format(sidecar.window()),
                        format(sidecar.outstanding()),
                        format(upstream.why())));
            }
        }
        printTable(List.of("upstream", "sidecar", "state", "kinds", "slots", "window", "outstanding", "why"), lines);
    }

    private void printQueues(List<SystemStatus.Queue> kinds) {
        List<List<String>> lines = new ArrayList<>();
        for (SystemStatus.Queue kind : kinds) {
            lines.add(List.of(
                    format(kind.kind()),
                    format(kind.urgency()),
                    format(kind.waiting()),
                    format(kind.running()),
                    format(kind.oldestWaitMilliseconds())));
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

    private static String format(Object value) {
        return Objects.toString(value, "");
    }
}
