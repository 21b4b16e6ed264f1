package io.caperturn.testkit.upstream;

import java.util.Locale;

/** Treatment of tasks by the stand-in upstream. */
public enum UpstreamMode {
    /** Runs each task for its run time and returns a result. */
    NORMAL,
    /** Starts each task and immediately answers with status 500. */
    FAIL_ALL,
    /** Starts each task and sends no response. */
    HANG,
    /** Immediately answers with status 503 and starts no task. */
    REFUSE,
    /** Starts each task, then closes the connection without a response. */
    RESET;

    /**
     * Parses the form used over HTTP.
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
