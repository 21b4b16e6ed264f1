package io.caperturn.cli;

import java.io.PrintStream;
import java.util.Objects;

/**
 * Output streams of a command.
 *
 * @param output the stream for results
 * @param messages the stream for progress, remarks and errors
 * @param interactive whether the streams are a terminal, on which progress may be redrawn in place
 */
public record Terminal(PrintStream output, PrintStream messages, boolean interactive) {
    /** Checks that both streams are present. */
    public Terminal {
        Objects.requireNonNull(output, "output");
        Objects.requireNonNull(messages, "messages");
    }

    /**
     * Returns the standard streams of the process.
     *
     * @return the terminal, interactive if standard input and output are a terminal
     */
    public static Terminal ofProcess() {
        return new Terminal(System.out, System.err, System.console() != null);
    }
}
