package io.caperturn.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;

/** Shows the table. */
@Parameters(commandDescription = "Show the table that is in the store")
public final class TableShowCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

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
        return entries.mistakes();
    }
}
