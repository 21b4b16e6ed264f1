package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Options of every command that changes the operators' table of weights and limits. */
public final class ChangeOptions {
    @Parameter(names = "--dry-run", description = "Show the differences and change nothing")
    private boolean dryRun;

    @Parameter(names = "--author", description = "Author of the change; the name of the user if absent")
    private String author = System.getProperty("user.name", "");

    @Parameter(
            names = "--change-id",
            description = "Identity of the change; reuse it to retry a change whose outcome is unknown")
    private String changeId;

    @Parameter(names = "--create", description = "Allow rows that are not in the table yet")
    private boolean create;

    @Parameter(
            names = "--wait-milliseconds",
            description = "Wait until the change is in force at every process that the named entries know")
    private int waitMilliseconds;

    /**
     * Returns whether the change is only checked and not applied.
     *
     * @return true if so
     */
    public boolean isDryRun() {
        return dryRun;
    }

    /**
     * Returns the author of the change.
     *
     * @return the name of the author
     */
    public String author() {
        return author;
    }

    /**
     * Returns the identity of the change.
     *
     * @return the identity, or empty if a random one is to be generated
     */
    public Optional<String> changeId() {
        return Optional.ofNullable(changeId);
    }

    /**
     * Returns whether the change may create rows.
     *
     * @return true if so
     */
    public boolean isCreateAllowed() {
        return create;
    }

    /**
     * Returns the maximum time to wait until the change is in force at every process.
     *
     * @return the time, zero for no wait
     */
    public Duration propagationTimeout() {
        return Duration.ofMillis(waitMilliseconds);
    }

    /**
     * Checks the values of the options.
     *
     * @return one line for each mistake
     */
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (author.isBlank()) {
            mistakes.add("--author must not be blank");
        }
        if (waitMilliseconds < 0) {
            mistakes.add("--wait-milliseconds must not be negative");
        }
        return mistakes;
    }
}
