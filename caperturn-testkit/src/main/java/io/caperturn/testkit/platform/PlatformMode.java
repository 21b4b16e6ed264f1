package io.caperturn.testkit.platform;

import java.util.Locale;

/** How the stand-in platform treats requests. */
public enum PlatformMode {
    /** Answers as the protocol says. */
    NORMAL,
    /** Answers 503 at once; nothing is written. */
    DOWN,
    /** Accepts connections and never answers; nothing is written. */
    DOWN_SILENT,
    /** Handles each request only after a delay. */
    SLOW,
    /** Lets writes take effect, then closes the connection without a reply. */
    REPLY_LOST;

    /**
     * Reads the form used over HTTP.
     *
     * @param text the mode in lower case with hyphens
     * @return the mode
     * @throws IllegalArgumentException if there is no such mode
     */
    public static PlatformMode parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
