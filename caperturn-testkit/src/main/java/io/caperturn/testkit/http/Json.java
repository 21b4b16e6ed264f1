package io.caperturn.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON as the stand-ins read and write it. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Turns records, maps and lists into JSON.
     *
     * @param value what to turn
     * @return the JSON
     */
    public static JsonNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Reads a text.
     *
     * @param text the text; an empty one counts as an empty object
     * @return the JSON
     * @throws IllegalArgumentException if it is no JSON
     */
    public static JsonNode parse(String text) {
        try {
            return text.isBlank() ? object() : MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("malformed JSON: " + e.getOriginalMessage(), e);
        }
    }
}
