package io.caperturn.review;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON texts as maps, lists, strings, longs, doubles, booleans and nulls. */
final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    static Map<?, ?> parseObject(byte[] text) throws IOException {
        if (text.length == 0) {
            return Map.of();
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            return (Map<?, ?>) parse(parser);
        }
    }

    private static Object parse(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, parse(parser));
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(parse(parser));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    static byte[] write(Object value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        switch (value) {
            case null -> generator.writeNull();
            case String text -> generator.writeString(text);
            case Integer number -> generator.writeNumber(number);
            case Long number -> generator.writeNumber(number);
            case Double number -> generator.writeNumber(number);
            case Boolean flag -> generator.writeBoolean(flag);
            case Map<?, ?> map -> {
                generator.writeStartObject();
                for (Map.Entry<?, ?> field : map.entrySet()) {
                    generator.writeFieldName(String.valueOf(field.getKey()));
                    write(generator, field.getValue());
                }
                generator.writeEndObject();
            }
            case List<?> list -> {
                generator.writeStartArray();
                for (Object element : list) {
                    write(generator, element);
                }
                generator.writeEndArray();
            }
            default -> throw new IllegalArgumentException("no JSON form for " + value.getClass());
        }
    }
}
