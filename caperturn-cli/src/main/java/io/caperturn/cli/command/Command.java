package io.caperturn.cli.command;

import java.util.List;

/** A command with the options given on the command line. */
public sealed interface Command
        permits CheckSettingsCommand,
                EntryCommand,
                ExplainCommand,
                ExplainPlacementCommand,
                ReplayTraceCommand,
                SidecarCommand,
                SubmitCommand,
                TableCommand,
                TopCommand {
    /**
     * Returns the options that all commands share.
     *
     * @return the options
     */
    CommonOptions common();

    /**
     * Checks the values of the options and their combination.
     *
     * @return one line for each mistake, empty if there is none
     */
    List<String> findMistakes();
}
