package io.caperturn.testkit.upstream;

import java.util.Locale;

/** How the stand-in upstream treats tasks. */
public enum UpstreamMode {
    /** Runs tasks. */
    NORMAL,
    /** Starts each task and answers 500 at once. */
    FAIL_ALL,
    /** Starts each task and never answers. */
    HANG,
    /** Answers 503 at once and starts nothing. */
    REFUSE,
    /** Starts each task, then closes the connection without a reply. */
    RESET;

    /**
     * Reads the form used over HTTP.
     *
     * @param text the mode in lower case with hyphens
     * @return the mode
     * @throws IllegalArgumentException if there is no such mode
     */
    public static UpstreamMode parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
