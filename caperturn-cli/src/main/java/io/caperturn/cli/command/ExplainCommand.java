package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Explains what happened to a submission. */
@Parameters(commandDescription = "Tell where the tasks of a submission ran, what they waited for and how they ended")
public final class ExplainCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @Parameter(description = "TEAM/KEY, or with --logs the ID of a job", required = true)
    private List<String> submissions;

    @Parameter(names = "--task", description = "Tell everything of this task")
    private String task;

    @Parameter(names = "--all", description = "Tell every event of every task")
    private boolean all;

    @Parameter(
            names = "--logs",
            variableArity = true,
            description = "Tell the story of a job from these collected logs, without asking any entry")
    private List<String> logs = List.of();

    @Parameter(names = "--json", description = "Print what the entry knows as JSON")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> mistakes() {
        if (!logs.isEmpty()) {
            return logMistakes();
        }
        List<String> mistakes = new ArrayList<>(entries.mistakes());
        if (submissions.size() != 1 || !submissions.getFirst().matches("[^/]+/.+")) {
            mistakes.add("give one submission as TEAM/KEY");
        }
        return mistakes;
    }

    private List<String> logMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (submissions.size() != 1) {
            mistakes.add("give the ID of one job before --logs");
        }
        if (!entries.addresses().isEmpty() || all || json || task != null) {
            mistakes.add("--logs takes no other option");
        }
        logs.stream()
                .filter(file -> !Files.isReadable(Path.of(file)))
                .forEach(file -> mistakes.add("can't read " + file));
        return mistakes;
    }

    /**
     * Returns the collected logs to read.
     *
     * @return the files; empty if entries are to be asked
     */
    public List<Path> logs() {
        return logs.stream().map(Path::of).toList();
    }

    /**
     * Returns what to explain, as it was given.
     *
     * @return {@code TEAM/KEY}, or the identity of a job
     */
    public String subject() {
        return submissions.getFirst();
    }

    /**
     * Returns the entries to ask in turn.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entries.addresses();
    }

    /**
     * Returns the team of the submission.
     *
     * @return the team
     */
    public String team() {
        String submission = submissions.getFirst();
        return submission.substring(0, submission.indexOf('/'));
    }

    /**
     * Returns the idempotency key of the submission.
     *
     * @return the key
     */
    public String key() {
        String submission = submissions.getFirst();
        return submission.substring(submission.indexOf('/') + 1);
    }

    /**
     * Returns the task that is asked for.
     *
     * @return the task, or empty for the whole submission
     */
    public Optional<String> task() {
        return Optional.ofNullable(task);
    }

    /**
     * Tells whether every event is wanted.
     *
     * @return true if so
     */
    public boolean all() {
        return all;
    }

    /**
     * Tells whether JSON is wanted.
     *
     * @return true if so
     */
    public boolean json() {
        return json;
    }
}
