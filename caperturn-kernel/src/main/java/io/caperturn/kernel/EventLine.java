package io.caperturn.kernel;

import java.util.Objects;

/**
 * Builder of a log line of key=value pairs; the first pair is the name of the event.
 *
 * <p>Values that are empty or contain spaces, quotes, equals signs or control characters are quoted, so that the line
 * can be parsed and contains no line break.
 */
public final class EventLine {
    /** Maximum length of a value, in characters; a longer one is cut off, because lines wait in memory. */
    private static final int MAXIMUM_VALUE_LENGTH = 4_096;

    private final StringBuilder line;

    private EventLine(String event) {
        line = new StringBuilder("event=").append(event);
    }

    /**
     * Starts a line.
     *
     * @param event the name of the event, in lower case with hyphens
     * @return the builder
     */
    public static EventLine of(String event) {
        return new EventLine(Objects.requireNonNull(event, "event"));
    }

    /**
     * Appends a pair.
     *
     * @param key the key, in lower case
     * @param value the value, converted by {@link String#valueOf(Object)}
     * @return this builder
     */
    public EventLine with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quoteIfNeeded(shorten(String.valueOf(value))));
        return this;
    }

    /** Returns a text, or its start and its length if it is too long. */
    private static String shorten(String value) {
        return value.length() <= MAXIMUM_VALUE_LENGTH
                ? value
                : value.substring(0, MAXIMUM_VALUE_LENGTH) + "...(" + value.length() + ")";
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(EventLine::needsQuotes);
        if (plain) {
            return value;
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            switch (c) {
                case '"' -> quoted.append("\\\"");
                case '\\' -> quoted.append("\\\\");
                case '\n' -> quoted.append("\\n");
                case '\r' -> quoted.append("\\r");
                case '\t' -> quoted.append("\\t");
                default -> quoted.append(isControlOrLineBreak(c) ? '?' : c);
            }
        }
        return quoted.append('"').toString();
    }

    private static boolean needsQuotes(int character) {
        return character == ' ' || character == '"' || character == '=' || isControlOrLineBreak(character);
    }

    /**
     * Returns whether a character is a control character or a line or paragraph separator, which some log readers treat
     * as a line break.
     */
    private static boolean isControlOrLineBreak(int character) {
        int type = Character.getType(character);
        return type == Character.CONTROL || type == Character.LINE_SEPARATOR || type == Character.PARAGRAPH_SEPARATOR;
    }
}
