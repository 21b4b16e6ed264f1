package io.caperturn.cli.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parser of the command line. */
public final class CommandParser {
    private static final String PROGRAM = "caperturn";
    private static final String TABLE = "table";

    private CommandParser() {}

    /**
     * Parses a command line.
     *
     * @param arguments the command with its options
     * @return what it says
     */
    public static ParseResult parse(String... arguments) {
        Map<String, Command> commands = commands();
        CommandGroup table = new CommandGroup();
        Map<String, Command> tableCommands = tableCommands();
        CommonOptions common = new CommonOptions();
        JCommander parser =
                JCommander.newBuilder().programName(PROGRAM).addObject(common).build();
        commands.forEach(parser::addCommand);
        parser.addCommand(TABLE, table);
        tableCommands.forEach(parser.getCommands().get(TABLE)::addCommand);
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return new ParseResult.Wrong(PROGRAM + ": " + e.getMessage() + "; see " + PROGRAM + " --help");
        }
        if (TABLE.equals(parser.getParsedCommand())) {
            return choose(PROGRAM + " " + TABLE, parser.getCommands().get(TABLE), tableCommands, table.common());
        }
        return choose(PROGRAM, parser, commands, common);
    }

    private static ParseResult choose(
            String prefix, JCommander parser, Map<String, Command> commands, CommonOptions common) {
        String name = parser.getParsedCommand();
        if (name != null) {
            return check(
                    prefix + " " + name,
                    commands.get(name),
                    parser.getCommands().get(name));
        }
        if (common.help()) {
            return new ParseResult.Help(usage(parser));
        }
        return new ParseResult.Wrong(prefix + ": give one of the commands "
                + String.join(", ", parser.getCommands().keySet()));
    }

    private static ParseResult check(String prefix, Command command, JCommander parser) {
        if (command.common().help()) {
            return new ParseResult.Help(usage(parser));
        }
        List<String> mistakes = command.mistakes();
        if (mistakes.isEmpty()) {
            return new ParseResult.Parsed(command);
        }
        String start = prefix + ": ";
        return new ParseResult.Wrong(start + String.join(System.lineSeparator() + start, mistakes));
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("entry", new EntryCommand());
        commands.put("sidecar", new SidecarCommand());
        commands.put("check-settings", new CheckSettingsCommand());
        commands.put("submit", new SubmitCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("top", new TopCommand());
        commands.put("replay", new ReplayTraceCommand());
        return commands;
    }

    private static Map<String, Command> tableCommands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("show", new TableShowCommand());
        commands.put("set", new TableSetCommand());
        commands.put("import", new TableImportCommand());
        commands.put("export", new TableExportCommand());
        commands.put("history", new TableHistoryCommand());
        return commands;
    }

    private static String usage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.toString();
    }
}
