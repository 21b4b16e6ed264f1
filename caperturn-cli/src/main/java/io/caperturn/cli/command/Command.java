package io.caperturn.cli.command;

import java.util.List;

/** One command with its options, as the command line gave them. */
public sealed interface Command
        permits CheckSettingsCommand,
                EntryCommand,
                ExplainCommand,
                ReplayTraceCommand,
                SidecarCommand,
                SubmitCommand,
                TableCommand,
                TopCommand {
    /**
     * Returns the options that every command has.
     *
     * @return the options
     */
    CommonOptions common();

    /**
     * Checks the options against each other.
     *
     * @return one line for each mistake, empty if there is none
     */
    List<String> mistakes();
}
