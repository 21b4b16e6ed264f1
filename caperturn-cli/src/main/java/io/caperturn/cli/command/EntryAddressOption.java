package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import java.util.List;
import java.util.regex.Pattern;

/** Option {@code --entry}, which gives the addresses of entries (processes that accept submissions). */
public final class EntryAddressOption {
    private static final Pattern ADDRESS = Pattern.compile("(?:[A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+]):[0-9]{1,5}");

    @Parameter(
            names = "--entry",
            description = "HOST:PORT of an entry; several by comma or by repeating the option, tried in turn")
    private List<String> addresses = List.of();

    /**
     * Returns the addresses in the order in which they were given.
     *
     * @return the addresses, {@code host:port}
     */
    public List<String> addresses() {
        return List.copyOf(addresses);
    }

    /**
     * Checks the addresses.
     *
     * @return one line for each mistake
     */
    public List<String> findMistakes() {
        if (addresses.isEmpty()) {
            return List.of("--entry is required");
        }
        return addresses.stream()
                .filter(address -> !ADDRESS.matcher(address).matches())
                .map(address -> "--entry is HOST:PORT, not " + address)
                .toList();
    }
}
