package io.caperturn.store.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Writer and reader of the module's JSON. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /**
     * Writes a record.
     *
     * @param value the record, one of this package's
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
     * Reads a record, ignoring members that it does not know.
     *
     * @param <T> the record's type
     * @param text the JSON text
     * @param type the record's type
     * @return the record, or empty if the text does not have its shape
     */
    public static <T> Optional<T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(text, type));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
