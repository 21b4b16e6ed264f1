package io.caperturn.testkit.platform;

import java.util.Locale;

/** Treatment of requests by the stand-in platform, normal or with a fault. */
public enum PlatformMode {
    /** Handles requests as the platform's table service does. */
    NORMAL,
    /** Answers with status 503 immediately; nothing is written. */
    DOWN,
    /** Accepts connections and sends no response; nothing is written. */
    DOWN_SILENT,
    /** Handles each request only after a delay. */
    SLOW,
    /** Applies writes, then closes the connection without a response. */
    REPLY_LOST;

    /**
     * Parses the form used over HTTP.
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
