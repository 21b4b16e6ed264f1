package io.caperturn.kernel;

import java.util.Objects;

/**
 * Builder of one log line of key=value pairs, the first of which names the event.
 *
 * <p>Values with spaces, quotes, equals signs or control characters are quoted, so that a line stays one line and can
 * be split again.
 */
public final class EventLine {
    private final StringBuilder line;

    private EventLine(String event) {
        line = new StringBuilder("event=").append(event);
    }

    /**
     * Begins a line.
     *
     * @param event the event's name in lower case with hyphens
     * @return the line
     */
    public static EventLine of(String event) {
        return new EventLine(Objects.requireNonNull(event, "event"));
    }

    /**
     * Appends a pair.
     *
     * @param key the key in lower case
     * @param value the value, written by its {@code toString}
     * @return this line
     */
    public EventLine with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
        return this;
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String quote(String value) {
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
                default -> quoted.append(breaksLine(c) ? '?' : c);
            }
        }
        return quoted.append('"').toString();
    }

    private static boolean needsQuotes(int character) {
        return character == ' ' || character == '"' || character == '=' || breaksLine(character);
    }

    /**
     * Tells control characters and the separators of lines and paragraphs, which some readers take for a line's end.
     */
    private static boolean breaksLine(int character) {
        int type = Character.getType(character);
        return type == Character.CONTROL || type == Character.LINE_SEPARATOR || type == Character.PARAGRAPH_SEPARATOR;
    }
}
