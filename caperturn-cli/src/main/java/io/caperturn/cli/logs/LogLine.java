package io.caperturn.cli.logs;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Log line of an instance (entry or sidecar process), split into its pairs of key and value.
 *
 * @param event the name of the event
 * @param timeMilliseconds the time at which it was written, in milliseconds since 1970, by the clock of the instance
 * @param instance the instance that wrote it
 * @param values the other values by key, in the order of the line
 */
record LogLine(EventName event, long timeMilliseconds, String instance, Map<String, String> values) {
    private static final String EVENT = "event";
    private static final Map<String, EventName> EVENT_NAMES =
            Arrays.stream(EventName.values()).collect(Collectors.toMap(EventName::label, Function.identity()));

    /** Checks that all parts are present and copies the values in their order. */
    LogLine {
        Objects.requireNonNull(event, EVENT);
        Objects.requireNonNull(instance, "instance");
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /**
     * Parses a line. Text before the first pair, added by a log collector, is ignored.
     *
     * @param text the line
     * @return the parsed line, or empty if it is not a line of an instance, is truncated or has an event that this
     *     version does not know
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf(EVENT + "=");
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> pairs = new LinkedHashMap<>();
        int index = start;
        while (index < text.length()) {
            int separator = text.indexOf('=', index);
            if (separator < 0) {
                return Optional.empty();
            }
            String key = text.substring(index, separator).strip();
            StringBuilder value = new StringBuilder();
            index = readValue(text, separator + 1, value);
            if (index < 0) {
                return Optional.empty();
            }
            pairs.put(key, value.toString());
        }
        EventName event = EVENT_NAMES.get(pairs.remove(EVENT));
        String time = pairs.remove(EventKey.TIME.label());
        String instance = pairs.remove(EventKey.AT.label());
        if (event == null || instance == null || time == null || !time.matches("[0-9]{1,15}")) {
            return Optional.empty();
        }
        return Optional.of(new LogLine(event, Long.parseLong(time), instance, pairs));
    }

    /**
     * Reads a value that may be quoted, and returns the index after it and the following space, or -1 if a quote is
     * unclosed.
     */
    private static int readValue(String text, int from, StringBuilder value) {
        if (from >= text.length() || text.charAt(from) != '"') {
            int end = text.indexOf(' ', from);
            value.append(text, from, end < 0 ? text.length() : end);
            return end < 0 ? text.length() : end + 1;
        }
        for (int index = from + 1; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"') {
                return index + 2;
            }
            if (character == '\\' && index + 1 < text.length()) {
                index++;
                value.append(unescape(text.charAt(index)));
            } else {
                value.append(character);
            }
        }
        return -1;
    }

    private static char unescape(char character) {
        return switch (character) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            case 't' -> '\t';
            default -> character;
        };
    }

    /**
     * Returns whether the line is about a job.
     *
     * @param job the identity of the job, or that of a request for it
     * @return true if it names the job, a run of one of its tasks or the request
     */
    boolean isAbout(String job) {
        return job.equals(textOf(EventKey.JOB)) || job.equals(textOf(EventKey.REQUEST)) || run().startsWith(job + "/");
    }

    /**
     * Returns whether the line has an event.
     *
     * @param name the event
     * @return true if so
     */
    boolean hasEvent(EventName name) {
        return event == name;
    }

    /**
     * Returns the run that the line names.
     *
     * @return the run as job/repetition/step/index#number: a job can run repeatedly and has steps, index is that of the
     *     task in its step, and number tells its runs apart; empty if the line names none
     */
    String run() {
        return textOf(EventKey.RUN);
    }

    /**
     * Returns the value of a key as a number.
     *
     * @param key the key
     * @return the number, 0 if the value is absent or not a number
     */
    long numberOf(EventKey key) {
        String value = textOf(key);
        return value.matches("-?[0-9]{1,15}") ? Long.parseLong(value) : 0;
    }

    /**
     * Returns the value of a key.
     *
     * @param key the key
     * @return the value, empty if it is absent
     */
    String textOf(EventKey key) {
        return values.getOrDefault(key.label(), "");
    }
}
