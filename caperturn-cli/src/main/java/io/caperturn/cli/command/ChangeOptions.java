package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Options of every command that changes the table. */
public final class ChangeOptions {
    @Parameter(names = "--dry-run", description = "Show the differences and change nothing")
    private boolean dryRun;

    @Parameter(names = "--author", description = "Who makes the change; the user's name if absent")
    private String author = System.getProperty("user.name", "");

    @Parameter(names = "--change-id", description = "Identity of the change, to repeat one whose end is unknown")
    private String changeId;

    @Parameter(names = "--create", description = "Allow rows that the table does not have yet")
    private boolean create;

    @Parameter(
            names = "--wait-milliseconds",
            description = "Wait until the change is in force at every process that the named entries know")
    private int waitMilliseconds;

    /**
     * Tells whether nothing is to be changed.
     *
     * @return true if so
     */
    public boolean dryRun() {
        return dryRun;
    }

    /**
     * Returns who makes the change.
     *
     * @return the name
     */
    public String author() {
        return author;
    }

    /**
     * Returns the identity that was given.
     *
     * @return the identity, or empty if one is to be drawn
     */
    public Optional<String> changeId() {
        return Optional.ofNullable(changeId);
    }

    /**
     * Tells whether new rows are allowed.
     *
     * @return true if so
     */
    public boolean create() {
        return create;
    }

    /**
     * Returns how long to wait for the change to be in force everywhere.
     *
     * @return the time, zero not to wait
     */
    public Duration propagationTimeout() {
        return Duration.ofMillis(waitMilliseconds);
    }

    /**
     * Checks the options.
     *
     * @return one line for each mistake
     */
    public List<String> mistakes() {
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
