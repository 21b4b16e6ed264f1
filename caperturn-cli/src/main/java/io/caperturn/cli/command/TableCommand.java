package io.caperturn.cli.command;

import java.util.List;

/** Command that reads or changes the operators' table of weights and limits. */
public sealed interface TableCommand extends Command
        permits TableExportCommand, TableHistoryCommand, TableImportCommand, TableSetCommand, TableShowCommand {
    /**
     * Returns the addresses of the entry processes, which are tried in turn.
     *
     * @return the addresses, {@code host:port}
     */
    List<String> entries();
}
