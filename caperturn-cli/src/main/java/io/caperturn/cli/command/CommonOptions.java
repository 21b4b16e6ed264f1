package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;

/** Options of every command. */
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
     * Tells whether only the options are asked for.
     *
     * @return true if so
     */
    public boolean help() {
        return help;
    }

    /**
     * Tells whether to log more.
     *
     * @return true if so
     */
    public boolean verbose() {
        return verbose;
    }
}
