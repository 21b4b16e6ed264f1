package io.caperturn.cli.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parser of the command line. */
public final class CommandParser {
    private static final String PROGRAM = "caperturn";

    private CommandParser() {}

    /**
     * Parses a command line.
     *
     * @param arguments the command with its options
     * @return what it says
     */
    public static ParseResult parse(String... arguments) {
        Map<String, Command> commands = commands();
        CommonOptions common = new CommonOptions();
        JCommander parser =
                JCommander.newBuilder().programName(PROGRAM).addObject(common).build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return new ParseResult.Wrong(PROGRAM + ": " + e.getMessage() + "; see " + PROGRAM + " --help");
        }
        String name = parser.getParsedCommand();
        if (name == null) {
            return common.help()
                    ? new ParseResult.Help(usage(parser))
                    : new ParseResult.Wrong(
                            PROGRAM + ": give one of the commands " + String.join(", ", commands.keySet()));
        }
        return check(name, commands.get(name), parser);
    }

    private static ParseResult check(String name, Command command, JCommander parser) {
        if (command.common().help()) {
            return new ParseResult.Help(usage(parser.getCommands().get(name)));
        }
        List<String> mistakes = command.mistakes();
        if (mistakes.isEmpty()) {
            return new ParseResult.Parsed(command);
        }
        String prefix = PROGRAM + " " + name + ": ";
        return new ParseResult.Wrong(prefix + String.join(System.lineSeparator() + prefix, mistakes));
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("entry", new EntryCommand());
        commands.put("sidecar", new SidecarCommand());
        commands.put("check-settings", new CheckSettingsCommand());
        commands.put("submit", new SubmitCommand());
        return commands;
    }

    private static String usage(JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        return text.toString();
    }
}
