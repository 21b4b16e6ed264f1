package io.caperturn.cli;

import io.caperturn.cli.check.SettingsReport;
import io.caperturn.cli.command.CheckSettingsCommand;
import io.caperturn.cli.command.Command;
import io.caperturn.cli.command.CommandParser;
import io.caperturn.cli.command.EntryCommand;
import io.caperturn.cli.command.ExplainCommand;
import io.caperturn.cli.command.ExplainPlacementCommand;
import io.caperturn.cli.command.ParseResult;
import io.caperturn.cli.command.ReplayTraceCommand;
import io.caperturn.cli.command.SidecarCommand;
import io.caperturn.cli.command.SubmitCommand;
import io.caperturn.cli.command.TableCommand;
import io.caperturn.cli.command.TopCommand;
import io.caperturn.cli.daemon.DaemonRunner;
import io.caperturn.cli.explain.ExplainAction;
import io.caperturn.cli.logs.LogsAction;
import io.caperturn.cli.placement.ExplainPlacementAction;
import io.caperturn.cli.status.TopAction;
import io.caperturn.cli.submit.SubmitAction;
import io.caperturn.cli.table.TableAction;
import io.caperturn.replay.ReplayRunner;

/** Main class of the command line. */
public final class Main {
    private static final String LOG_LEVEL_PROPERTY = "io.caperturn.LEVEL";
    private static final String CONSOLE_PROPERTY = "jdk.console";

    private Main() {}

    /**
     * Runs one command and exits the process with its exit code.
     *
     * @param arguments the command with its options
     */
    public static void main(String[] arguments) {
        // With the console of java.base, System.console() is null when a stream is redirected, in every Java version.
        System.setProperty(CONSOLE_PROPERTY, "java.base");
        System.exit(run(arguments, Terminal.ofProcess()).code());
    }

    /**
     * Runs one command.
     *
     * @param arguments the command with its options
     * @param terminal the terminal to write to
     * @return the exit code
     */
    public static ExitCode run(String[] arguments, Terminal terminal) {
        return switch (CommandParser.parse(arguments)) {
            case ParseResult.Help(String usage) -> {
                terminal.output().print(usage);
                yield ExitCode.DONE;
            }
            case ParseResult.Invalid(String message) -> {
                terminal.messages().println(message);
                yield ExitCode.WRONG_USAGE;
            }
            case ParseResult.Parsed(Command command) -> {
                if (command.common().isVerbose()) {
                    System.setProperty(LOG_LEVEL_PROPERTY, "DEBUG");
                }
                yield execute(command, terminal);
            }
        };
    }

    private static ExitCode execute(Command command, Terminal terminal) {
        return switch (command) {
            case EntryCommand entry -> DaemonRunner.runEntry(entry.settingsFile(), terminal);
            case SidecarCommand sidecar -> DaemonRunner.runSidecar(sidecar.settingsFile(), terminal);
            case CheckSettingsCommand check -> SettingsReport.check(check.file(), check.role(), terminal);
            case SubmitCommand submit -> SubmitAction.run(submit, terminal);
            case ExplainCommand explain ->
                explain.logFiles().isEmpty()
                        ? ExplainAction.run(explain, terminal)
                        : LogsAction.run(explain.subject(), explain.logFiles(), terminal);
            case ExplainPlacementCommand explain -> ExplainPlacementAction.run(explain, terminal);
            case ReplayTraceCommand replay -> replay(replay, terminal);
            case TopCommand top -> TopAction.run(top, terminal);
            case TableCommand table -> TableAction.run(table, terminal);
        };
    }

    private static ExitCode replay(ReplayTraceCommand command, Terminal terminal) {
        int code = command.createReplay()
                .run(command.trace(), command.deployment(), command.jsonFile(), command.svgFile(), terminal.output());
        return code == ReplayRunner.SUCCESS ? ExitCode.DONE : ExitCode.FAILED;
    }
}
