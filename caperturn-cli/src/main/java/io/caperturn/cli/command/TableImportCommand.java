package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Changes the table to the rows of a file, all of them or none. */
@Parameters(commandDescription = "Change the table to the rows of a CSV or JSON file, as one change or not at all")
public final class TableImportCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @ParametersDelegate
    private final ChangeOptions change = new ChangeOptions();

    @Parameter(description = "FILE", required = true)
    private List<String> files;

    @Parameter(names = "--prune", description = "Delete rows that the file does not have")
    private boolean prune;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> entries() {
        return entries.addresses();
    }

    @Override
    public List<String> mistakes() {
        List<String> mistakes = new ArrayList<>(entries.mistakes());
        mistakes.addAll(change.mistakes());
        if (files.size() != 1) {
            mistakes.add("give one file, not " + files.size());
        }
        return mistakes;
    }

    /**
     * Returns the options of the change.
     *
     * @return the options
     */
    public ChangeOptions change() {
        return change;
    }

    /**
     * Returns the file to import.
     *
     * @return the file
     */
    public Path file() {
        return Path.of(files.getFirst());
    }

    /**
     * Tells whether rows that the file does not have are deleted.
     *
     * @return true if so
     */
    public boolean prune() {
        return prune;
    }
}
