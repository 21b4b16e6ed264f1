package io.caperturn.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Conversion between Java values, JSON trees and text. */
public final class TestkitJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TestkitJson() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Converts records, maps and lists to JSON.
     *
     * @param value the value to convert
     * @return the JSON
     */
    public static JsonNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Parses JSON.
     *
     * @param text the text; a blank text is read as an empty object
     * @return the JSON
     * @throws IllegalArgumentException if the text is not valid JSON
     */
    public static JsonNode parse(String text) {
        try {
            return text.isBlank() ? object() : MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("malformed JSON: " + e.getOriginalMessage(), e);
        }
    }
}
