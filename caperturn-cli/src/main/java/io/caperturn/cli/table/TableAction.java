package io.caperturn.cli.table;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.cli.command.ChangeOptions;
import io.caperturn.cli.command.TableCommand;
import io.caperturn.cli.command.TableExportCommand;
import io.caperturn.cli.command.TableHistoryCommand;
import io.caperturn.cli.command.TableImportCommand;
import io.caperturn.cli.command.TableSetCommand;
import io.caperturn.cli.command.TableShowCommand;
import io.caperturn.cli.http.EntryClient;
import io.caperturn.cli.status.Propagation;
import io.caperturn.cli.status.StatusClient;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;

/** Runs the commands on the table. */
public final class TableAction {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final TableClient client;
    private final StatusClient status;
    private final List<String> entries;
    private final Terminal terminal;

    private TableAction(EntryClient http, List<String> entries, Terminal terminal) {
        this.client = new TableClient(http, entries);
        this.status = new StatusClient(http);
        this.entries = entries;
        this.terminal = terminal;
    }

    /**
     * Runs a command.
     *
     * @param command the command
     * @param terminal where it writes
     * @return how it ended
     */
    public static ExitCode run(TableCommand command, Terminal terminal) {
        try (EntryClient http = EntryClient.open()) {
            return new TableAction(http, command.entries(), terminal).run(command);
        } catch (IOException e) {
            terminal.messages().println("caperturn table: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private ExitCode run(TableCommand command) throws IOException {
        return switch (command) {
            case TableShowCommand ignored ->
                withTable(table -> {
                    TablePrinter.print(table, terminal.output());
                    return ExitCode.DONE;
                });
            case TableExportCommand export ->
                withTable(table -> {
                    terminal.output().print(export.json() ? TableFile.writeJson(table) : TableFile.writeCsv(table));
                    return ExitCode.DONE;
                });
            case TableHistoryCommand history -> showHistory(history);
            case TableSetCommand set -> withTable(table -> set(set, table));
            case TableImportCommand imported -> importFile(imported);
        };
    }

    private ExitCode withTable(Function<TableRows, ExitCode> use) {
        TableReply reply = client.read();
        return reply instanceof TableReply.Table(TableRows rows) ? use.apply(rows) : report(reply);
    }

    private ExitCode showHistory(TableHistoryCommand command) {
        TableReply reply = client.history(command.limit());
        if (!(reply instanceof TableReply.History(List<TableReply.Change> changes))) {
            return report(reply);
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(List.of("version", "at", "author", "changeId", "rows"));
        for (TableReply.Change change : changes) {
            lines.add(List.of(
                    Long.toString(change.version()),
                    change.at(),
                    change.author(),
                    change.changeId(),
                    String.join(" ", change.rows())));
        }
        TablePrinter.print(lines, terminal.output());
        return ExitCode.DONE;
    }

    private ExitCode set(TableSetCommand command, TableRows table) {
        Optional<TableRow> before = table.find(command.row());
        if (command.delete()) {
            return delete(command, before);
        }
        Map<Column, String> cells = new EnumMap<>(Column.class);
        before.ifPresent(row -> Column.of(row.name().type()).forEach(column -> cells.put(column, column.text(row))));
        cells.putAll(command.cells());
        RowCells wanted = new RowCells(
                command.row().toString(),
                command.row(),
                cells,
                command.explicitZero() || keepsLimits(before, cells),
                command.expectedVersion());
        return change(EditPlan.of(table, List.of(wanted), command.change().create(), false), command.change());
    }

    private static boolean keepsLimits(Optional<TableRow> before, Map<Column, String> cells) {
        return before.isPresent()
                && before.get().stops()
                && Column.of(RowName.Type.TEAM).stream()
                        .allMatch(column -> column.text(before.get()).equals(cells.get(column)));
    }

    private ExitCode delete(TableSetCommand command, Optional<TableRow> before) {
        if (before.isEmpty()) {
            terminal.messages().println(command.row() + ": no such row");
            return ExitCode.REFUSED;
        }
        long expected = command.expectedVersion().orElse(before.get().version());
        TableEdit edit = new TableEdit(before, Optional.empty(), expected, false);
        return change(new EditPlan.Edits(List.of(edit)), command.change());
    }

    private ExitCode importFile(TableImportCommand command) throws IOException {
        return switch (TableFile.read(Files.readString(command.file()))) {
            case TableFile.Result.Wrong(List<TableMistake> mistakes) -> report(new TableReply.Wrong(mistakes));
            case TableFile.Result.Read(List<RowCells> rows) ->
                withTable(table ->
                        change(EditPlan.of(table, rows, command.change().create(), command.prune()), command.change()));
        };
    }

    private ExitCode change(EditPlan plan, ChangeOptions options) {
        return switch (plan) {
            case EditPlan.Wrong(List<TableMistake> mistakes) -> report(new TableReply.Wrong(mistakes));
            case EditPlan.Edits(List<TableEdit> edits)
            when edits.isEmpty() -> {
                terminal.output().println("nothing to change");
                yield ExitCode.DONE;
            }
            case EditPlan.Edits(List<TableEdit> edits) -> send(edits, options);
        };
    }

    private ExitCode send(List<TableEdit> edits, ChangeOptions options) {
        edits.forEach(edit -> terminal.output().println(edit.difference()));
        String changeId = options.changeId().orElseGet(() -> UUID.randomUUID().toString());
        TableReply reply = client.change(changeId, options.author(), options.dryRun(), edits);
        if (reply instanceof TableReply.Accepted(long version)) {
            if (options.dryRun()) {
                terminal.output().println("dry run: would be version " + version + "; nothing was changed");
                return ExitCode.DONE;
            }
            terminal.output().println("accepted as version " + version);
            return options.propagationTimeout().isZero()
                    ? ExitCode.DONE
                    : awaitInForce(version, options.propagationTimeout());
        }
        if (reply instanceof TableReply.Conflict(List<TableReply.RowInForce> rows)) {
            rows.forEach(row -> showConflict(edits, row));
        }
        if (reply instanceof TableReply.Unknown) {
            terminal.messages().println("repeat it with --change-id " + changeId);
        }
        return report(reply);
    }

    private ExitCode awaitInForce(long version, Duration timeout) {
        long start = System.nanoTime();
        while (true) {
            Propagation propagation = Propagation.ask(status, entries);
            Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
            boolean complete = propagation.isComplete(version);
            if (complete || elapsed.compareTo(timeout) >= 0) {
                terminal.output()
                        .println("in force at " + propagation.inForce(version) + " of "
                                + propagation.versions().size() + " processes after " + elapsed.toMillis() + " ms");
                propagation.behind(version).forEach(terminal.messages()::println);
                return complete ? ExitCode.DONE : ExitCode.UNKNOWN;
            }
            try {
                Thread.sleep(POLL_INTERVAL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return ExitCode.UNKNOWN;
            }
        }
    }

    private void showConflict(List<TableEdit> edits, TableReply.RowInForce row) {
        String wanted = edits.stream()
                .filter(edit -> edit.name().toString().equals(row.name()))
                .findFirst()
                .flatMap(TableEdit::after)
                .map(after -> TableEdit.values(after).trim())
                .orElse("deleted");
        terminal.messages().println("conflict on " + row.name());
        terminal.messages().println("  yours:    " + wanted);
        terminal.messages().println("  in force: " + row.values() + " (version " + row.version() + ")");
    }

    private ExitCode report(TableReply reply) {
        return switch (reply) {
            case TableReply.Table ignored -> ExitCode.DONE;
            case TableReply.History ignored -> ExitCode.DONE;
            case TableReply.Accepted ignored -> ExitCode.DONE;
            case TableReply.Conflict(List<TableReply.RowInForce> rows) -> {
                terminal.messages().println(rows.size() + " rows changed meanwhile; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case TableReply.Wrong(List<TableMistake> mistakes) -> {
                mistakes.forEach(mistake -> terminal.messages().println(mistake));
                terminal.messages().println(mistakes.size() + " mistakes; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case TableReply.Refused(String detail) -> {
                terminal.messages().println("refused: " + detail);
                yield ExitCode.REFUSED;
            }
            case TableReply.Unknown(String detail) -> {
                terminal.messages().println("unknown: " + detail);
                yield ExitCode.UNKNOWN;
            }
        };
    }
}
