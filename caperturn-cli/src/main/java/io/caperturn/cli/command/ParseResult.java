package io.caperturn.cli.command;

/** What a command line says. */
public sealed interface ParseResult {
    /**
     * A command to run.
     *
     * @param command the command
     */
    record Parsed(Command command) implements ParseResult {}

    /**
     * Only the options are asked for.
     *
     * @param usage the text to print
     */
    record Help(String usage) implements ParseResult {}

    /**
     * The command line is wrong.
     *
     * @param message one line for each mistake
     */
    record Wrong(String message) implements ParseResult {}
}
