package io.caperturn.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Word that is followed by one of several commands. */
@Parameters(commandDescription = "Show, edit, import and export the table of weights and limits")
final class CommandGroup {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    CommonOptions common() {
        return common;
    }
}
