package io.caperturn.cli.logs;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Runs {@code explain ID --logs}: tells a job's story from collected logs, with no process asked. */
public final class LogsAction {
    private LogsAction() {}

    /**
     * Explains a job.
     *
     * @param job the job's identity
     * @param files the logs of entries and sidecars
     * @param terminal where the story goes
     * @return {@link ExitCode#DONE} if the logs speak of the job, {@link ExitCode#FAILED} if they don't or can't be
     *     read
     */
    public static ExitCode run(String job, List<Path> files, Terminal terminal) {
        try {
            Optional<JobStory> story = JobStory.of(job, new CollectedLogs(files));
            if (story.isEmpty()) {
                terminal.messages().println("caperturn explain: no line speaks of " + job);
                return ExitCode.FAILED;
            }
            story.get().tell().forEach(terminal.output()::println);
            return ExitCode.DONE;
        } catch (IOException e) {
            terminal.messages().println("caperturn explain: " + e);
            return ExitCode.FAILED;
        }
    }
}
