package io.caperturn.testkit.relay;

import java.util.Locale;

/** What the relay does with connections. */
public enum RelayMode {
    /** Passes all bytes of new connections. */
    PASS,
    /** Closes all present connections; passes new ones. */
    CUT,
    /** Makes all present connections silent for good, without closing them; passes new ones. */
    SILENT,
    /** Passes bytes to the target only, on present and new connections; those stay so for good. */
    TO_TARGET_ONLY,
    /** Passes bytes to the client only, on present and new connections; those stay so for good. */
    TO_CLIENT_ONLY,
    /** Closes new connections; present ones go on. */
    REFUSE;

    /**
     * Reads the form used over HTTP.
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
