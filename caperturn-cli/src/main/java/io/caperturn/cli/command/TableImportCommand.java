package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Command {@code table import}, which writes the rows of a file to the operators' table of weights and limits in a
 * single atomic change. Other rows of the table are kept, unless {@code --prune} is given.
 */
@Parameters(commandDescription = "Change the table to hold the rows of a CSV or JSON file; all of them change or none")
public final class TableImportCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @ParametersDelegate
    private final ChangeOptions change = new ChangeOptions();

    @Parameter(description = "FILE", required = true)
    private List<String> files;

    @Parameter(names = "--prune", description = "Delete rows that are not in the file")
    private boolean prune;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        mistakes.addAll(change.findMistakes());
        if (files.size() != 1) {
            mistakes.add("expected one FILE, got " + files.size());
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
     * Returns whether rows that are not in the file are deleted.
     *
     * @return true if so
     */
    public boolean isPruning() {
        return prune;
    }
}
