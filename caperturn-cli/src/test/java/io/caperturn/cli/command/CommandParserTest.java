package io.caperturn.cli.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandParserTest {
    private static final String SUBMIT = "submit --entry 127.0.0.1:1 --team demo --kind assay ";

    private static ParseResult parse(String line) {
        return line.isBlank()
                ? CommandParser.parse()
                : CommandParser.parse(line.trim().split(" +"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | entry, sidecar, check-settings, submit",
                "fly | fly",
                "entry | --settings",
                "entry --settings a.json --colour red | --colour",
                "check-settings | FILE",
                "check-settings --role worker a.json | entry or sidecar",
                "submit --team demo --kind assay --tasks 1 | --entry",
                SUBMIT + "| --tasks or --file",
                SUBMIT + "--tasks 0 | at least 1",
                SUBMIT + "--tasks many | --tasks",
                SUBMIT + "--tasks 1 --file job.json | exclude each other",
                SUBMIT + "--tasks 1 --run-milliseconds -1 | negative",
                SUBMIT + "--tasks 1 --deadline-milliseconds 0 | at least 1",
                SUBMIT + "--tasks 1 --urgency soon | soon",
                SUBMIT + "--tasks 1 --key a --resubmit b | exclude each other",
                SUBMIT + "--tasks 1 --non-idempotent | --request",
                SUBMIT + "--tasks 1 --request | exclude each other",
                "explain --entry a:1 lab | TEAM/KEY",
                "top --entry a:1 --interval-milliseconds -1 | negative",
                "replay steady --length-seconds 0 | positive",
                "table | show, set, import, export, history",
                "table set --entry a:1 --weight 2 | either --kind or --team",
                "table set --entry a:1 --kind assay | --delete",
                "table export --entry a:1 --format xml | csv or json",
                "submit --entry nowhere --team demo --kind assay --tasks 1 | HOST:PORT",
                "submit --entry 127.0.0.1:1 --tasks 1 | --team"
            })
    void invalidCommandLineIsExplained(String line, String expected) {
        String message =
                assertInstanceOf(ParseResult.Invalid.class, parse(line)).message();
        assertTrue(message.contains(expected), message);
    }

    @Test
    void everyMistakeIsReportedAtOnce() {
        String message = assertInstanceOf(ParseResult.Invalid.class, parse("submit --entry x --tasks 0"))
                .message();
        assertEquals(4, message.lines().count(), message);
    }

    @ParameterizedTest
    @CsvSource({"--help, check-settings", "submit --help, --resubmit", "entry -h, --settings"})
    void helpListsOptions(String line, String expected) {
        String usage = assertInstanceOf(ParseResult.Help.class, parse(line)).usage();
        assertTrue(usage.contains(expected), usage);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"--entry a:1 --entry [::1]:2", "--entry a:1,[::1]:2"})
    void entriesKeepTheirOrder(String options) {
        ParseResult result = parse("submit --team demo --kind assay --tasks 2 " + options);
        Command command = assertInstanceOf(ParseResult.Parsed.class, result).command();
        assertEquals(List.of("a:1", "[::1]:2"), ((SubmitCommand) command).entries());
    }
}
