import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reader and writer of JSON texts; objects are maps, arrays are lists, numbers are long or double. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        switch (next()) {
            case '{' -> {
                Map<String, Object> map = new LinkedHashMap<>();
                position++;
                while (next() != '}') {
                    String name = string();
                    next();
                    position++; // colon
                    map.put(name, value());
                    if (next() == ',') {
                        position++;
                    }
                }
                position++;
                return map;
            }
            case '[' -> {
                List<Object> list = new ArrayList<>();
                position++;
                while (next() != ']') {
                    list.add(value());
                    if (next() == ',') {
                        position++;
                    }
                }
                position++;
                return list;
            }
            case '"' -> {
                return string();
            }
            default -> {
                int start = position;
                while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
                    position++;
                }
                String word = text.substring(start, position);
                return switch (word) {
                    case "true" -> true;
                    case "false" -> false;
                    case "null" -> null;
                    default -> word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
                };
            }
        }
    }

    private String string() {
        next();
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder result = new StringBuilder();
        write(result, value);
        return result.toString();
    }

    private static void write(StringBuilder out, Object value) {
        switch (value) {
            case null -> out.append("null");
            case Map<?, ?> map -> {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> field : map.entrySet()) {
                    out.append(separator);
                    write(out, String.valueOf(field.getKey()));
                    out.append(':');
                    write(out, field.getValue());
                    separator = ",";
                }
                out.append('}');
            }
            case List<?> list -> {
                out.append('[');
                String separator = "";
                for (Object element : list) {
                    out.append(separator);
                    write(out, element);
                    separator = ",";
                }
                out.append(']');
            }
            case Number number -> out.append(number);
            case Boolean flag -> out.append(flag);
            default -> {
                out.append('"');
                for (char c : value.toString().toCharArray()) {
                    if (c == '"' || c == '\\') {
                        out.append('\\').append(c);
                    } else if (c < ' ') {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
                out.append('"');
            }
        }
    }
}
