package io.caperturn.cli.status;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.TopCommand;
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.table.ColumnPrinter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Runs {@code top}: prints the state of the system as each entry (process that accepts submissions) reports it. */
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
            boolean isEveryStatusRead = action.showEveryStatus(client);
            while (command.intervalMilliseconds() > 0) {
                Thread.sleep(command.intervalMilliseconds());
                if (terminal.interactive()) {
                    terminal.output().print(CLEAR_SCREEN);
                }
                isEveryStatusRead = action.showEveryStatus(client);
            }
            return isEveryStatusRead ? ExitCode.DONE : ExitCode.FAILED;
        } catch (IOException e) {
            terminal.messages().println("caperturn top: " + e.getMessage());
            return ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }

    private boolean showEveryStatus(StatusClient client) {
        boolean isEveryStatusRead = true;
        for (String entry : command.entries()) {
            switch (client.fetch(entry)) {
                case StatusClient.StatusResult.Failed(String cause) -> {
                    terminal.messages().println(entry + ": " + cause);
                    isEveryStatusRead = false;
                }
                case StatusClient.StatusResult.Received(SystemStatus ignored, String text)
                when command.isJson() -> terminal.output().println(text);
                case StatusClient.StatusResult.Received(SystemStatus status, String ignored) -> print(status);
            }
        }
        return isEveryStatusRead;
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
        printColumns(List.of("process", "name", "availabilityZone", "state", "tableVersion"), lines);
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
        printColumns(List.of("upstream", "sidecar", "state", "kinds", "slots", "window", "outstanding", "why"), lines);
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
        printColumns(List.of("kind", "urgency", "waiting", "running", "oldestWaitMilliseconds"), lines);
    }

    private void printColumns(List<String> header, List<List<String>> lines) {
        if (lines.isEmpty()) {
            return;
        }
        List<List<String>> headerAndLines = new ArrayList<>(List.of(header));
        headerAndLines.addAll(lines);
        terminal.output().println();
        ColumnPrinter.printLines(headerAndLines, terminal.output());
    }

    private static String format(Object value) {
        return Objects.toString(value, "");
    }
}
