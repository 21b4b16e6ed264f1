package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Command {@code table history}, which shows the newest changes of the operators' table of weights and limits. */
@Parameters(commandDescription = "Show the newest changes")
public final class TableHistoryCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(names = "--limit", description = "Maximum number of changes shown")
    private int limit = 20;

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
        if (limit < 1) {
            mistakes.add("--limit must be at least 1");
        }
        return mistakes;
    }

    /**
     * Returns the maximum number of changes to show.
     *
     * @return the number, at least 1
     */
    public int limit() {
        return limit;
    }
}
