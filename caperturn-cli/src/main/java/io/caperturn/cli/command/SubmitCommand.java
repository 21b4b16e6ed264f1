package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Command {@code submit}, which submits a job (one or more tasks) or a single request and waits for its answer. A kind
 * is a named class of work, with a row in the operators' table of weights and limits.
 */
@Parameters(commandDescription = "Submit a job, or with --request a single request, and wait for its answer")
public final class SubmitCommand implements Command {
    private static final Set<String> URGENCIES = Set.of("urgent", "normal", "background");
    private static final int DEFAULT_DEADLINE_MILLISECONDS = 30_000;
    private static final int DEFAULT_RUN_MILLISECONDS = 50;

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(names = "--team", description = "Team that submits")
    private String team;

    @Parameter(names = "--kind", description = "Kind of work")
    private String kind;

    @Parameter(names = "--urgency", description = "urgent, normal or background; by default the table decides")
    private String urgency;

    @Parameter(names = "--tasks", description = "Number of generated tasks")
    private Integer tasks;

    @Parameter(
            names = "--run-milliseconds",
            description = "Run time that each generated payload asks for; 50 if absent")
    private Integer runMilliseconds;

    @Parameter(names = "--file", description = "JSON file with the body to submit; options override its values")
    private Path file;

    @Parameter(
            names = "--deadline-milliseconds",
            description = "Time within which the answer must arrive; 30000 if absent")
    private Integer deadlineMilliseconds;

    @Parameter(names = "--key", description = "Idempotency key; random if absent")
    private String key;

    @Parameter(names = "--resubmit", description = "Key of an earlier submission to submit again, with the same body")
    private String resubmit;

    @Parameter(names = "--request", description = "Submit a single request instead of a job")
    private boolean request;

    @Parameter(names = "--non-idempotent", description = "The request must run at most once")
    private boolean nonIdempotent;

    @Parameter(names = "--json", description = "Print the whole answer as JSON")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        if (file == null) {
            addIf(team == null, "--team is required without --file", mistakes);
            addIf(kind == null, "--kind is required without --file", mistakes);
            addIf(tasks == null && !request, "--tasks or --file is required", mistakes);
        }
        addIf(file != null && tasks != null, "--tasks and --file exclude each other", mistakes);
        addIf(file != null && runMilliseconds != null, "--run-milliseconds and --file exclude each other", mistakes);
        addIf(request && tasks != null, "--tasks and --request exclude each other", mistakes);
        addIf(nonIdempotent && !request, "--non-idempotent requires --request; a job is always idempotent", mistakes);
        addIf(key != null && resubmit != null, "--key and --resubmit exclude each other", mistakes);
        addIf(
                urgency != null && !URGENCIES.contains(urgency),
                "--urgency is urgent, normal or background, not " + urgency,
                mistakes);
        addIf(tasks != null && tasks < 1, "--tasks must be at least 1", mistakes);
        addIf(runMilliseconds != null && runMilliseconds < 0, "--run-milliseconds must not be negative", mistakes);
        addIf(
                deadlineMilliseconds != null && deadlineMilliseconds < 1,
                "--deadline-milliseconds must be at least 1",
                mistakes);
        return mistakes;
    }

    private static void addIf(boolean isMistake, String message, List<String> mistakes) {
        if (isMistake) {
            mistakes.add(message);
        }
    }

    /**
     * Returns the addresses of the entry processes, which are tried in turn.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    /**
     * Returns the team.
     *
     * @return the team, or empty if the file names it
     */
    public Optional<String> team() {
        return Optional.ofNullable(team);
    }

    /**
     * Returns the kind of work.
     *
     * @return the kind, or empty if the file names it
     */
    public Optional<String> kind() {
        return Optional.ofNullable(kind);
    }

    /**
     * Returns the urgency class.
     *
     * @return the urgency in lower case, or empty for that of the kind in the operators' table
     */
    public Optional<String> urgency() {
        return Optional.ofNullable(urgency);
    }

    /**
     * Returns the number of tasks to generate.
     *
     * @return the number, at least 1
     */
    public int tasks() {
        return tasks == null ? 1 : tasks;
    }

    /**
     * Returns the run time that the payload of each generated task asks for.
     *
     * @return the time in milliseconds
     */
    public int runMilliseconds() {
        return runMilliseconds == null ? DEFAULT_RUN_MILLISECONDS : runMilliseconds;
    }

    /**
     * Returns the file with the body.
     *
     * @return the file, or empty if the body is generated
     */
    public Optional<Path> file() {
        return Optional.ofNullable(file);
    }

    /**
     * Returns the deadline given as an option.
     *
     * @return the deadline in milliseconds from the submission, or empty if the file or the default gives it
     */
    public Optional<Integer> deadlineMilliseconds() {
        return Optional.ofNullable(deadlineMilliseconds);
    }

    /**
     * Returns the deadline that applies where neither the options nor the file give one.
     *
     * @return the deadline in milliseconds from the submission
     */
    public int defaultDeadlineMilliseconds() {
        return DEFAULT_DEADLINE_MILLISECONDS;
    }

    /**
     * Returns the idempotency key given with {@code --key} or {@code --resubmit}.
     *
     * @return the key, or empty if a random one is to be generated
     */
    public Optional<String> key() {
        return Optional.ofNullable(resubmit == null ? key : resubmit);
    }

    /**
     * Returns whether an earlier submission is submitted again.
     *
     * @return true if the key was given with {@code --resubmit}
     */
    public boolean isResubmission() {
        return resubmit != null;
    }

    /**
     * Returns whether a single request is submitted.
     *
     * @return true for a request, false for a job
     */
    public boolean isRequest() {
        return request;
    }

    /**
     * Returns whether the request must run at most once.
     *
     * @return true if so
     */
    public boolean isNonIdempotent() {
        return nonIdempotent;
    }

    /**
     * Returns whether the whole answer is printed as JSON.
     *
     * @return true if so
     */
    public boolean isJson() {
        return json;
    }
}
