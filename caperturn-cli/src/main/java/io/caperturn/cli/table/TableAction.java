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
import io.caperturn.cli.http.EntryHttpClient;
import io.caperturn.cli.status.StatusClient;
import io.caperturn.cli.status.TablePropagation;
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

/** Runs the {@code table} commands, which read and change the operators' table of weights and limits. */
public final class TableAction {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final TableClient tableClient;
    private final StatusClient statusClient;
    private final List<String> entryAddresses;
    private final Terminal terminal;

    private TableAction(EntryHttpClient http, List<String> entryAddresses, Terminal terminal) {
        this.tableClient = new TableClient(http, entryAddresses);
        this.statusClient = new StatusClient(http);
        this.entryAddresses = entryAddresses;
        this.terminal = terminal;
    }

    /**
     * Runs a command.
     *
     * @param command the command
     * @param terminal the terminal to write to
     * @return the exit code
     */
    public static ExitCode run(TableCommand command, Terminal terminal) {
        try (EntryHttpClient http = EntryHttpClient.open()) {
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
                    ColumnPrinter.printTable(table, terminal.output());
                    return ExitCode.DONE;
                });
            case TableExportCommand export ->
                withTable(table -> {
                    terminal.output().print(export.isJson() ? TableFile.writeJson(table) : TableFile.writeCsv(table));
                    return ExitCode.DONE;
                });
            case TableHistoryCommand history -> showHistory(history);
            case TableSetCommand set -> withTable(table -> setRow(set, table));
            case TableImportCommand importCommand -> importFile(importCommand);
        };
    }

    private ExitCode withTable(Function<LimitTable, ExitCode> action) {
        TableResult result = tableClient.fetchTable();
        return result instanceof TableResult.FetchedTable(LimitTable table) ? action.apply(table) : report(result);
    }

    private ExitCode showHistory(TableHistoryCommand command) {
        TableResult result = tableClient.fetchHistory(command.limit());
        if (!(result instanceof TableResult.FetchedHistory(List<TableResult.Change> changes))) {
            return report(result);
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(List.of("version", "at", "author", "changeId", "rows"));
        for (TableResult.Change change : changes) {
            lines.add(List.of(
                    Long.toString(change.version()),
                    change.at(),
                    change.author(),
                    change.changeId(),
                    String.join(" ", change.rows())));
        }
        ColumnPrinter.printLines(lines, terminal.output());
        return ExitCode.DONE;
    }

    private ExitCode setRow(TableSetCommand command, LimitTable table) {
        Optional<LimitTableRow> before = table.find(command.rowIdentity());
        if (command.isDeletion()) {
            return deleteRow(command, before);
        }
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        before.ifPresent(row ->
                TableColumn.forType(row.identity().type()).forEach(column -> cells.put(column, column.text(row))));
        cells.putAll(command.cells());
        UncheckedRow wanted = new UncheckedRow(
                command.rowIdentity().toString(),
                command.rowIdentity(),
                cells,
                command.isExplicitZero() || isZeroLimitKept(before, cells),
                command.expectedVersion());
        return applyPlan(
                EditPlan.of(table, List.of(wanted), command.change().isCreateAllowed(), /* prune= */ false),
                command.change());
    }

    /** Returns whether the row has a limit of 0 already and no limit changes, so that the 0 needs no confirmation. */
    private static boolean isZeroLimitKept(Optional<LimitTableRow> before, Map<TableColumn, String> cells) {
        return before.isPresent()
                && before.get().hasZeroLimit()
                // The columns of a team are the limits, which kinds have too.
                && TableColumn.forType(RowIdentity.Type.TEAM).stream()
                        .allMatch(column -> column.text(before.get()).equals(cells.get(column)));
    }

    private ExitCode deleteRow(TableSetCommand command, Optional<LimitTableRow> before) {
        if (before.isEmpty()) {
            terminal.messages().println(command.rowIdentity() + ": no such row");
            return ExitCode.REFUSED;
        }
        long expectedVersion = command.expectedVersion().orElse(before.get().version());
        // A deletion needs no confirmation of a zero limit.
        TableEdit edit = new TableEdit(before, Optional.empty(), expectedVersion, /* explicitZero= */ false);
        return applyPlan(new EditPlan.Edits(List.of(edit)), command.change());
    }

    private ExitCode importFile(TableImportCommand command) throws IOException {
        return switch (TableFile.read(Files.readString(command.file()))) {
            case TableFile.Result.Invalid(List<TableMistake> mistakes) -> report(new TableResult.Invalid(mistakes));
            case TableFile.Result.Parsed(List<UncheckedRow> rows) ->
                withTable(table -> applyPlan(
                        EditPlan.of(table, rows, command.change().isCreateAllowed(), command.isPruning()),
                        command.change()));
        };
    }

    private ExitCode applyPlan(EditPlan plan, ChangeOptions options) {
        return switch (plan) {
            case EditPlan.Invalid(List<TableMistake> mistakes) -> report(new TableResult.Invalid(mistakes));
            case EditPlan.Edits(List<TableEdit> edits)
            when edits.isEmpty() -> {
                terminal.output().println("nothing to change");
                yield ExitCode.DONE;
            }
            case EditPlan.Edits(List<TableEdit> edits) -> sendEdits(edits, options);
        };
    }

    private ExitCode sendEdits(List<TableEdit> edits, ChangeOptions options) {
        edits.forEach(edit -> terminal.output().println(edit.formatDifference()));
        String changeId = options.changeId().orElseGet(() -> UUID.randomUUID().toString());
        TableResult result = tableClient.sendChange(changeId, options.author(), options.isDryRun(), edits);
        if (result instanceof TableResult.Accepted(long version)) {
            if (options.isDryRun()) {
                terminal.output().println("dry run: would be version " + version + "; nothing was changed");
                return ExitCode.DONE;
            }
            terminal.output().println("accepted as version " + version);
            return options.propagationTimeout().isZero()
                    ? ExitCode.DONE
                    : awaitPropagation(version, options.propagationTimeout());
        }
        if (result instanceof TableResult.Conflict(List<TableResult.StoredRow> rows)) {
            rows.forEach(row -> showConflict(edits, row));
        }
        if (result instanceof TableResult.Unknown) {
            terminal.messages().println("retry with --change-id " + changeId);
        }
        return report(result);
    }

    /**
     * Waits, within the time-out, until every process that the entry processes know uses the version or a later one.
     */
    private ExitCode awaitPropagation(long version, Duration timeout) {
        long start = System.nanoTime();
        while (true) {
            TablePropagation propagation = TablePropagation.query(statusClient, entryAddresses);
            Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
            boolean inForceEverywhere = propagation.isInForceEverywhere(version);
            if (inForceEverywhere || elapsed.compareTo(timeout) >= 0) {
                terminal.output()
                        .println("in force at " + propagation.countInForce(version) + " of "
                                + propagation.versions().size() + " processes after " + elapsed.toMillis() + " ms");
                propagation.describeOutdated(version).forEach(terminal.messages()::println);
                return inForceEverywhere ? ExitCode.DONE : ExitCode.UNKNOWN;
            }
            try {
                Thread.sleep(POLL_INTERVAL);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return ExitCode.UNKNOWN;
            }
        }
    }

    private void showConflict(List<TableEdit> edits, TableResult.StoredRow row) {
        String wanted = edits.stream()
                .filter(edit -> edit.rowIdentity().toString().equals(row.name()))
                .findFirst()
                .flatMap(TableEdit::after)
                .map(after -> TableEdit.formatValues(after).trim())
                .orElse("deleted");
        terminal.messages().println("conflict on " + row.name());
        terminal.messages().println("  yours:    " + wanted);
        terminal.messages().println("  in force: " + row.values() + " (version " + row.version() + ")");
    }

    private ExitCode report(TableResult result) {
        return switch (result) {
            case TableResult.FetchedTable ignored -> ExitCode.DONE;
            case TableResult.FetchedHistory ignored -> ExitCode.DONE;
            case TableResult.Accepted ignored -> ExitCode.DONE;
            case TableResult.Conflict(List<TableResult.StoredRow> rows) -> {
                terminal.messages().println(rows.size() + " rows changed meanwhile; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case TableResult.Invalid(List<TableMistake> mistakes) -> {
                mistakes.forEach(mistake -> terminal.messages().println(mistake));
                terminal.messages().println(mistakes.size() + " mistakes; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case TableResult.Refused(String detail) -> {
                terminal.messages().println("refused: " + detail);
                yield ExitCode.REFUSED;
            }
            case TableResult.Unknown(String detail) -> {
                terminal.messages().println("unknown: " + detail);
                yield ExitCode.UNKNOWN;
            }
        };
    }
}
