package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Command {@code table export}, which writes the operators' table of weights and limits to standard output. */
@Parameters(commandDescription = "Write the table as CSV or JSON to standard output")
public final class TableExportCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(names = "--format", description = "csv or json")
    private String format = "csv";

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
        if (!isJson() && !format.equals("csv")) {
            mistakes.add("--format is csv or json, not " + format);
        }
        return mistakes;
    }

    /**
     * Returns whether the format is JSON instead of CSV.
     *
     * @return true for JSON
     */
    public boolean isJson() {
        return format.equals("json");
    }
}
