package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Command {@code explain}, which explains what happened to a submission from the history that an entry (process that
 * accepts submissions) keeps, or with {@code --logs} what happened to a job from log files.
 */
@Parameters(commandDescription = "Show where the tasks of a submission ran, what they waited for and how they ended")
public final class ExplainCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(description = "TEAM/KEY, or with --logs the ID of a job", required = true)
    private List<String> subjects;

    @Parameter(names = "--task", description = "Show all events of this task")
    private String task;

    @Parameter(names = "--all", description = "Show all events of every task")
    private boolean all;

    @Parameter(
            names = "--logs",
            variableArity = true,
            description = "Explain a job from these collected logs, without contacting any entry")
    private List<String> logFiles = List.of();

    @Parameter(names = "--json", description = "Print the history that the entry keeps as JSON")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        if (!logFiles.isEmpty()) {
            return findLogMistakes();
        }
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        if (subjects.size() != 1 || !subjects.getFirst().matches("[^/]+/.+")) {
            mistakes.add("expected one submission as TEAM/KEY");
        }
        return mistakes;
    }

    private List<String> findLogMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (subjects.size() != 1) {
            mistakes.add("expected the ID of one job before --logs");
        }
        if (!entryAddresses.addresses().isEmpty() || all || json || task != null) {
            mistakes.add("--logs can't be combined with other options");
        }
        logFiles.stream()
                .filter(file -> !Files.isReadable(Path.of(file)))
                .forEach(file -> mistakes.add("can't read " + file));
        return mistakes;
    }

    /**
     * Returns the log files to read.
     *
     * @return the files, empty if entries are queried instead
     */
    public List<Path> logFiles() {
        return logFiles.stream().map(Path::of).toList();
    }

    /**
     * Returns the submission or job to explain.
     *
     * @return {@code TEAM/KEY} of a submission, or with {@code --logs} the identity of a job
     */
    public String subject() {
        return subjects.getFirst();
    }

    /**
     * Returns the entries to query in turn.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    /**
     * Returns the team of the submission.
     *
     * @return the team
     */
    public String team() {
        String submission = subjects.getFirst();
        return submission.substring(0, submission.indexOf('/'));
    }

    /**
     * Returns the idempotency key of the submission.
     *
     * @return the key
     */
    public String key() {
        String submission = subjects.getFirst();
        return submission.substring(submission.indexOf('/') + 1);
    }

    /**
     * Returns the task whose events are shown.
     *
     * @return the task, or empty for the whole submission
     */
    public Optional<String> task() {
        return Optional.ofNullable(task);
    }

    /**
     * Returns whether all events of every task are shown.
     *
     * @return true if so
     */
    public boolean isEveryEventShown() {
        return all;
    }

    /**
     * Returns whether the history is printed as JSON.
     *
     * @return true if so
     */
    public boolean isJson() {
        return json;
    }
}
