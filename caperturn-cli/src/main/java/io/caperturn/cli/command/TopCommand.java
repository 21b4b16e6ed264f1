package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;

/** Shows the state of the system. */
@Parameters(commandDescription = "Show entries, sidecars, upstreams and queues as the named entries see them")
public final class TopCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @Parameter(names = "--interval-milliseconds", description = "Show it again at this interval until interrupted")
    private int intervalMilliseconds;

    @Parameter(names = "--json", description = "Print what the entries say as JSON, one line each")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> mistakes() {
        List<String> mistakes = new ArrayList<>(entries.mistakes());
        if (intervalMilliseconds < 0) {
            mistakes.add("--interval-milliseconds must not be negative");
        }
        return mistakes;
    }

    /**
     * Returns the entries to ask, all of them.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> entries() {
        return entries.addresses();
    }

    /**
     * Returns the time between two showings.
     *
     * @return the time in milliseconds, 0 to show it once
     */
    public int intervalMilliseconds() {
        return intervalMilliseconds;
    }

    /**
     * Tells whether JSON is wanted.
     *
     * @return true if so
     */
    public boolean json() {
        return json;
    }
}
