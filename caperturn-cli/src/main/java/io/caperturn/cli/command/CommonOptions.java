package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;

/** Options that all commands share. */
public final class CommonOptions {
    @Parameter(
            names = {"--help", "-h"},
            description = "Print the options",
            help = true)
    private boolean help;

    @Parameter(
            names = {"--verbose", "-v"},
            description = "Log more")
    private boolean verbose;

    /**
     * Returns whether only the usage text is requested.
     *
     * @return true if so
     */
    public boolean isHelp() {
        return help;
    }

    /**
     * Returns whether the process logs at level DEBUG.
     *
     * @return true if so
     */
    public boolean isVerbose() {
        return verbose;
    }
}
