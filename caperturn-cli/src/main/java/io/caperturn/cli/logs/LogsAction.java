package io.caperturn.cli.logs;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Runs {@code explain ID --logs}: reports on a job from log files, without contacting any process. */
public final class LogsAction {
    private LogsAction() {}

    /**
     * Prints the report on a job.
     *
     * @param job the identity of the job, or that of a request for it
     * @param files the log files of entry and sidecar processes
     * @param terminal the terminal to print to
     * @return {@link ExitCode#DONE} if the logs mention the job, {@link ExitCode#FAILED} if they don't or can't be read
     */
    public static ExitCode run(String job, List<Path> files, Terminal terminal) {
        try {
            Optional<JobReport> report = JobReport.of(job, new CollectedLogs(files));
            if (report.isEmpty()) {
                terminal.messages().println("caperturn explain: no log line mentions " + job);
                return ExitCode.FAILED;
            }
            report.get().formatLines().forEach(terminal.output()::println);
            return ExitCode.DONE;
        } catch (IOException e) {
            terminal.messages().println("caperturn explain: " + e);
            return ExitCode.FAILED;
        }
    }
}
