package io.caperturn.testkit.relay;

import java.util.Locale;

/** Treatment of connections by the relay, which forwards bytes between clients and a target server. */
public enum RelayMode {
    /** Forwards new connections; existing ones stay as they are. */
    PASS,
    /** Closes all existing connections; forwards new ones. */
    CUT,
    /** Permanently drops all bytes of existing connections without closing them; forwards new ones. */
    SILENT,
    /** Forwards bytes to the target, and permanently drops those to the client, on existing and new connections. */
    TO_TARGET_ONLY,
    /** Forwards bytes to the client, and permanently drops those to the target, on existing and new connections. */
    TO_CLIENT_ONLY,
    /** Closes new connections immediately; existing ones stay as they are. */
    REFUSE;

    /**
     * Parses the form used over HTTP.
     *
     * @param text the mode in lower case with hyphens
     * @return the mode
     * @throws IllegalArgumentException if there is no such mode
     */
    public static RelayMode parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
