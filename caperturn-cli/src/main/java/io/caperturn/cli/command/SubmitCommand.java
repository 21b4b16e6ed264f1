package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Submits a job or a single request and waits for its answer. */
@Parameters(commandDescription = "Submit a job, or with --request a single request, and wait for its answer")
public final class SubmitCommand implements Command {
    private static final Set<String> URGENCIES = Set.of("urgent", "normal", "background");
    private static final int DEFAULT_DEADLINE_MILLISECONDS = 30_000;
    private static final int DEFAULT_RUN_MILLISECONDS = 50;

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

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

    @Parameter(names = "--file", description = "Body to submit, JSON; options given beside it go before it")
    private Path file;

    @Parameter(
            names = "--deadline-milliseconds",
            description = "Time within which an answer is wanted; 30000 if absent")
    private Integer deadlineMilliseconds;

    @Parameter(names = "--key", description = "Idempotency key; drawn at random if absent")
    private String key;

    @Parameter(names = "--resubmit", description = "Key of an earlier submission to submit again, with the same body")
    private String resubmit;

    @Parameter(names = "--request", description = "Submit a single request in place of a job")
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
    public List<String> mistakes() {
        List<String> mistakes = new ArrayList<>(entries.mistakes());
        if (file == null) {
            refuseIf(team == null, "--team is needed without --file", mistakes);
            refuseIf(kind == null, "--kind is needed without --file", mistakes);
            refuseIf(tasks == null && !request, "--tasks or --file is needed", mistakes);
        }
        refuseIf(file != null && tasks != null, "--tasks and --file exclude each other", mistakes);
        refuseIf(file != null && runMilliseconds != null, "--run-milliseconds and --file exclude each other", mistakes);
        refuseIf(request && tasks != null, "--tasks and --request exclude each other", mistakes);
        refuseIf(nonIdempotent && !request, "--non-idempotent goes with --request; a job always is", mistakes);
        refuseIf(key != null && resubmit != null, "--key and --resubmit exclude each other", mistakes);
        refuseIf(urgency != null && !URGENCIES.contains(urgency), "--urgency can't be " + urgency, mistakes);
        refuseIf(tasks != null && tasks < 1, "--tasks must be at least 1", mistakes);
        refuseIf(runMilliseconds != null && runMilliseconds < 0, "--run-milliseconds must not be negative", mistakes);
        refuseIf(
                deadlineMilliseconds != null && deadlineMilliseconds < 1,
                "--deadline-milliseconds must be at least 1",
                mistakes);
        return mistakes;
    }

    private static void refuseIf(boolean wrong, String message, List<String> mistakes) {
        if (wrong) {
            mistakes.add(message);
        }
    }

    /**
     * Returns the entries to try in turn.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entries.addresses();
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
     * Returns the urgency.
     *
     * @return the urgency in lower case, or empty if the table decides
     */
    public Optional<String> urgency() {
        return Optional.ofNullable(urgency);
    }

    /**
     * Returns the number of generated tasks.
     *
     * @return the number, at least 1
     */
    public int tasks() {
        return tasks == null ? 1 : tasks;
    }

    /**
     * Returns the run time that generated payloads ask for.
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
     * Returns the deadline that was asked for.
     *
     * @return the deadline in milliseconds, or empty if the file or the default decides
     */
    public Optional<Integer> deadlineMilliseconds() {
        return Optional.ofNullable(deadlineMilliseconds);
    }

    /**
     * Returns the deadline where neither options nor file give one.
     *
     * @return the deadline in milliseconds
     */
    public int defaultDeadlineMilliseconds() {
        return DEFAULT_DEADLINE_MILLISECONDS;
    }

    /**
     * Returns the idempotency key that was given, for the first time or again.
     *
     * @return the key, or empty if one is to be drawn
     */
    public Optional<String> key() {
        return Optional.ofNullable(resubmit == null ? key : resubmit);
    }

    /**
     * Tells whether the key belongs to an earlier submission.
     *
     * @return true if it was given as one
     */
    public boolean resubmission() {
        return resubmit != null;
    }

    /**
     * Tells whether a single request is submitted.
     *
     * @return true for a request, false for a job
     */
    public boolean request() {
        return request;
    }

    /**
     * Tells whether the request must run at most once.
     *
     * @return true if so
     */
    public boolean nonIdempotent() {
        return nonIdempotent;
    }

    /**
     * Tells whether the whole answer is printed.
     *
     * @return true if so
     */
    public boolean json() {
        return json;
    }
}
