package io.caperturn.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Command {@code table}, which requires one of the table commands as its subcommand. */
@Parameters(commandDescription = "Show, edit, import and export the table of weights and limits")
final class TableCommandGroup {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    CommonOptions common() {
        return common;
    }
}
