import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON texts as maps, lists, strings, whole numbers ({@link Long}), decimal numbers ({@link Double}) and booleans. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a JSON text. */
    static Object parse(byte[] bytes) throws IOException {
        Json parser = new Json(new String(bytes, StandardCharsets.UTF_8));
        Object value = parser.parseValue();
        parser.skipSpace();
        if (parser.position != parser.text.length()) {
            throw new IOException("text after the JSON value");
        }
        return value;
    }

    /** Returns the JSON text of a value. */
    static byte[] write(Object value) {
        StringBuilder builder = new StringBuilder();
        append(builder, value);
        return builder.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void append(StringBuilder builder, Object value) {
        switch (value) {
            case null -> builder.append("null");
            case String string -> appendString(builder, string);
            case Map<?, ?> map -> {
                String separator = "{";
                for (Map.Entry<?, ?> field : map.entrySet()) {
                    builder.append(separator);
                    appendString(builder, String.valueOf(field.getKey()));
                    builder.append(':');
                    append(builder, field.getValue());
                    separator = ",";
                }
                builder.append(map.isEmpty() ? "{}" : "}");
            }
            case List<?> list -> {
                String separator = "[";
                for (Object element : list) {
                    builder.append(separator);
                    append(builder, element);
                    separator = ",";
                }
                builder.append(list.isEmpty() ? "[]" : "]");
            }
            default -> builder.append(value);
        }
    }

    private static void appendString(StringBuilder builder, String string) {
        builder.append('"');
        for (int index = 0; index < string.length(); index++) {
            char character = string.charAt(index);
            if (character == '"' || character == '\\') {
                builder.append('\\').append(character);
            } else if (character < ' ') {
                builder.append(String.format("\\u%04x", (int) character));
            } else {
                builder.append(character);
            }
        }
        builder.append('"');
    }

    private Object parseValue() throws IOException {
        skipSpace();
        if (position >= text.length()) {
            throw new IOException("the JSON text ends early");
        }
        char first = text.charAt(position);
        return switch (first) {
            case '{' -> parseObject();
            case '[' -> parseArray();
            case '"' -> parseString();
            default -> parseLiteral();
        };
    }

    private Map<String, Object> parseObject() throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        skipSpace();
        if (text.charAt(position) == '}') {
            position++;
            return map;
        }
        while (true) {
            skipSpace();
            String name = parseString();
            skipSpace();
            require(':');
            map.put(name, parseValue());
            skipSpace();
            if (text.charAt(position) == '}') {
                position++;
                return map;
            }
            require(',');
        }
    }

    private List<Object> parseArray() throws IOException {
        List<Object> list = new ArrayList<>();
        position++;
        skipSpace();
        if (text.charAt(position) == ']') {
            position++;
            return list;
        }
        while (true) {
            list.add(parseValue());
            skipSpace();
            if (text.charAt(position) == ']') {
                position++;
                return list;
            }
            require(',');
        }
    }

    private String parseString() throws IOException {
        require('"');
        StringBuilder builder = new StringBuilder();
        while (text.charAt(position) != '"') {
            char character = text.charAt(position++);
            if (character != '\\') {
                builder.append(character);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> builder.append('\n');
                case 't' -> builder.append('\t');
                case 'r' -> builder.append('\r');
                case 'b' -> builder.append('\b');
                case 'f' -> builder.append('\f');
                case 'u' -> {
                    builder.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> builder.append(escaped);
            }
        }
        position++;
        return builder.toString();
    }

    private Object parseLiteral() throws IOException {
        int start = position;
        while (position < text.length() && ",]} \t\r\n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String literal = text.substring(start, position);
        return switch (literal) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> parseNumber(literal);
        };
    }

    private static Object parseNumber(String literal) throws IOException {
        try {
            if (literal.contains(".") || literal.contains("e") || literal.contains("E")) {
                return Double.valueOf(literal);
            }
            return Long.valueOf(literal);
        } catch (NumberFormatException e) {
            throw new IOException("no JSON value: " + literal, e);
        }
    }

    private void require(char expected) throws IOException {
        if (position >= text.length() || text.charAt(position) != expected) {
            throw new IOException("expected '" + expected + "' at " + position);
        }
        position++;
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
