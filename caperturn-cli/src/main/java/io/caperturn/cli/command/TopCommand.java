package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/**
 * Command {@code top}, which shows the state of all processes and queues as entries (processes that accept submissions)
 * report it.
 */
@Parameters(commandDescription = "Show entries, sidecars, upstreams and queues as reported by the named entries")
public final class TopCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(
            names = "--interval-milliseconds",
            description = "Interval at which to show the state until interrupted; 0 to show it once")
    private int intervalMilliseconds;

    @Parameter(names = "--json", description = "Print the status of each entry as JSON, one line each")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        if (intervalMilliseconds < 0) {
            mistakes.add("--interval-milliseconds must not be negative");
        }
        return mistakes;
    }

    /**
     * Returns the entries to query, each of which is shown.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    /**
     * Returns the interval at which the state is shown.
     *
     * @return the interval in milliseconds, 0 to show the state once
     */
    public int intervalMilliseconds() {
        return intervalMilliseconds;
    }

    /**
     * Returns whether the status is printed as JSON.
     *
     * @return true if so
     */
    public boolean isJson() {
        return json;
    }
}
