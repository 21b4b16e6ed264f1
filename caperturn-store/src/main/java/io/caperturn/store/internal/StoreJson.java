package io.caperturn.store.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Conversion between the records of this package and JSON text. */
public final class StoreJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private StoreJson() {}

    /**
     * Writes a record.
     *
     * @param value a record of this package
     * @return its JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not writable as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Reads a record, ignoring unknown properties.
     *
     * @param <T> the record's type
     * @param text the JSON text
     * @param type the record's type
     * @return the record, or empty if the text is not JSON of the record's form
     */
    public static <T> Optional<T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(text, type));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
