package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Shows the newest changes of the table. */
@Parameters(commandDescription = "Show the newest changes")
public final class TableHistoryCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @Parameter(names = "--limit", description = "Most changes shown")
    private int limit = 20;

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
        if (limit < 1) {
            mistakes.add("--limit must be at least 1");
        }
        return mistakes;
    }

    /**
     * Returns how many changes are shown at most.
     *
     * @return the number, at least 1
     */
    public int limit() {
        return limit;
    }
}
