package io.caperturn.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;

/** Command {@code table show}, which prints the operators' table of weights and limits. */
@Parameters(commandDescription = "Show the table as it is in the store")
public final class TableShowCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

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
        return entryAddresses.findMistakes();
    }
}
