package io.caperturn.cli;

import java.io.PrintStream;
import java.util.Objects;

/**
 * Where a command writes.
 *
 * @param output what was asked for
 * @param messages remarks, progress and mistakes
 * @param interactive whether a person watches, so that progress may be redrawn in place
 */
public record Terminal(PrintStream output, PrintStream messages, boolean interactive) {
    /** Checks that both streams are present. */
    public Terminal {
        Objects.requireNonNull(output, "output");
        Objects.requireNonNull(messages, "messages");
    }

    /**
     * Returns the process's own streams.
     *
     * @return the terminal, interactive if standard input and output are one
     */
    public static Terminal ofProcess() {
        return new Terminal(System.out, System.err, System.console() != null);
    }
}
