package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Writes the table as CSV or JSON. */
@Parameters(commandDescription = "Write the table as CSV or JSON to standard output")
public final class TableExportCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @Parameter(names = "--format", description = "csv or json")
    private String format = "csv";

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
        if (!json() && !format.equals("csv")) {
            mistakes.add("--format is csv or json, not " + format);
        }
        return mistakes;
    }

    /**
     * Tells whether JSON is wanted in place of CSV.
     *
     * @return true for JSON
     */
    public boolean json() {
        return format.equals("json");
    }
}
