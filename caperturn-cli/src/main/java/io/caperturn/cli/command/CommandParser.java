package io.caperturn.cli.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parser of the command line.
 *
 * <p>The commands {@code entry} and {@code sidecar} run a process: an entry accepts submissions, a sidecar passes their
 * tasks to an upstream. The commands of the group {@code table} concern the operators' table of weights and limits,
 * whose rows are kinds (named classes of work) and teams.
 */
public final class CommandParser {
    private static final String PROGRAM = "caperturn";
    private static final String TABLE = "table";

    private CommandParser() {}

    /**
     * Parses a command line.
     *
     * @param arguments the command with its options
     * @return the command, the usage text or a description of the mistakes
     */
    public static ParseResult parse(String... arguments) {
        Map<String, Command> commands = createCommands();
        TableCommandGroup tableGroup = new TableCommandGroup();
        Map<String, Command> tableCommands = createTableCommands();
        CommonOptions common = new CommonOptions();
        JCommander parser =
                JCommander.newBuilder().programName(PROGRAM).addObject(common).build();
        commands.forEach(parser::addCommand);
        parser.addCommand(TABLE, tableGroup);
        tableCommands.forEach(parser.getCommands().get(TABLE)::addCommand);
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return new ParseResult.Invalid(PROGRAM + ": " + e.getMessage() + "; see " + PROGRAM + " --help");
        }
        if (TABLE.equals(parser.getParsedCommand())) {
            return selectCommand(
                    PROGRAM + " " + TABLE, parser.getCommands().get(TABLE), tableCommands, tableGroup.common());
        }
        return selectCommand(PROGRAM, parser, commands, common);
    }

    private static ParseResult selectCommand(
            String prefix, JCommander parser, Map<String, Command> commands, CommonOptions common) {
        String name = parser.getParsedCommand();
        if (name != null) {
            return validate(
                    prefix + " " + name,
                    commands.get(name),
                    parser.getCommands().get(name));
        }
        if (common.isHelp()) {
            return new ParseResult.Help(formatUsage(parser));
        }
        return new ParseResult.Invalid(prefix + ": expected one of the commands "
                + String.join(", ", parser.getCommands().keySet()));
    }

    private static ParseResult validate(String prefix, Command command, JCommander parser) {
        if (command.common().isHelp()) {
            return new ParseResult.Help(formatUsage(parser));
        }
        List<String> mistakes = command.findMistakes();
        if (mistakes.isEmpty()) {
            return new ParseResult.Parsed(command);
        }
        String linePrefix = prefix + ": ";
        return new ParseResult.Invalid(linePrefix + String.join(System.lineSeparator() + linePrefix, mistakes));
    }

    private static Map<String, Command> createCommands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("entry", new EntryCommand());
        commands.put("sidecar", new SidecarCommand());
        commands.put("check-settings", new CheckSettingsCommand());
        commands.put("submit", new SubmitCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("explain-placement", new ExplainPlacementCommand());
        commands.put("top", new TopCommand());
        commands.put("replay", new ReplayTraceCommand());
        return commands;
    }

    private static Map<String, Command> createTableCommands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("show", new TableShowCommand());
        commands.put("set", new TableSetCommand());
        commands.put("import", new TableImportCommand());
        commands.put("export", new TableExportCommand());
        commands.put("history", new TableHistoryCommand());
        return commands;
    }

    private static String formatUsage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.toString();
    }
}
