package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
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
     * Checks the options.
     *
     * @return one line for each mistake
     */
    public List<String> mistakes() {
        return author.isBlank() ? List.of("--author must not be blank") : List.of();
    }
}
