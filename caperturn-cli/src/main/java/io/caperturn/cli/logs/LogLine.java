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
 * One line of a process's log, split into its pairs.
 *
 * @param event name of the event
 * @param time when it was written, in milliseconds since 1970, by the clock of its instance
 * @param at instance that wrote it
 * @param values the other pairs, in their order
 */
record LogLine(EventName event, long time, String at, Map<String, String> values) {
    private static final String EVENT = "event";
    private static final Map<String, EventName> NAMES =
            Arrays.stream(EventName.values()).collect(Collectors.toMap(EventName::label, Function.identity()));

    /** Checks that nothing is missing, and copies the pairs in their order. */
    LogLine {
        Objects.requireNonNull(event, EVENT);
        Objects.requireNonNull(at, "at");
        values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
    }

    /**
     * Splits a line. What a collector put before the first pair is passed over.
     *
     * @param text the line
     * @return its parts, or empty if it is no line of a process, was cut off or tells of an event that this version
     *     does not know
     */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf(EVENT + "=");
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> pairs = new LinkedHashMap<>();
        int index = start;
        while (index < text.length()) {
            int equals = text.indexOf('=', index);
            if (equals < 0) {
                return Optional.empty();
            }
            String key = text.substring(index, equals).strip();
            StringBuilder value = new StringBuilder();
            index = readValue(text, equals + 1, value);
            if (index < 0) {
                return Optional.empty();
            }
            pairs.put(key, value.toString());
        }
        EventName event = NAMES.get(pairs.remove(EVENT));
        String time = pairs.remove(EventKey.TIME.label());
        String at = pairs.remove(EventKey.AT.label());
        if (event == null || at == null || time == null || !time.matches("[0-9]{1,15}")) {
            return Optional.empty();
        }
        return Optional.of(new LogLine(event, Long.parseLong(time), at, pairs));
    }

    /** Reads a value that may be quoted; gives the index behind it and the space after it, or -1 if it has no end. */
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
     * Tells whether the line speaks of a job.
     *
     * @param job the job's identity
     * @return true if the job, one of its runs or its request is named
     */
    boolean isAbout(String job) {
        return job.equals(text(EventKey.JOB)) || job.equals(text(EventKey.REQUEST)) || run().startsWith(job + "/");
    }

    /**
     * Tells whether the line is one of an event.
     *
     * @param name the event
     * @return true if so
     */
    boolean is(EventName name) {
        return event == name;
    }

    /**
     * Gives the run that the line speaks of.
     *
     * @return the run as job/occurrence/step/index#number; empty if it speaks of none
     */
    String run() {
        return text(EventKey.RUN);
    }

    /**
     * Gives a number.
     *
     * @param key its key
     * @return its value; 0 if there is none
     */
    long number(EventKey key) {
        String value = text(key);
        return value.matches("-?[0-9]{1,15}") ? Long.parseLong(value) : 0;
    }

    /**
     * Gives a text.
     *
     * @param key its key
     * @return its value; empty if there is none
     */
    String text(EventKey key) {
        return values.getOrDefault(key.label(), "");
    }
}
