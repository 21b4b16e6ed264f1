package io.caperturn.cli.command;

/** Result of parsing a command line. */
public sealed interface ParseResult {
    /**
     * The command line is valid.
     *
     * @param command the command to run
     */
    record Parsed(Command command) implements ParseResult {}

    /**
     * The command line asks for the usage text.
     *
     * @param usage the usage text
     */
    record Help(String usage) implements ParseResult {}

    /**
     * The command line is invalid.
     *
     * @param message one line for each mistake
     */
    record Invalid(String message) implements ParseResult {}
}
