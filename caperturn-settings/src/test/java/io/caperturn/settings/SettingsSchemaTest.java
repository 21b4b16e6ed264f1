package io.caperturn.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.internal.SettingsJson;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that schemas and settings records have the same keys and the same defaults. */
class SettingsSchemaTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static JsonNode readSchema(SettingsRole role) throws IOException {
        try (InputStream stream = SettingsRole.class.getResourceAsStream("/schema/" + role.label() + ".schema.json")) {
            return MAPPER.readTree(stream);
        }
    }

    @ParameterizedTest
    @EnumSource(SettingsRole.class)
    void schemaHasExactlyTheRecordComponents(SettingsRole role) throws IOException {
        assertSameKeys(role.type(), readSchema(role), role.label());
    }

    @ParameterizedTest
    @EnumSource(SettingsRole.class)
    void schemaDefaultsEqualRecordDefaults(SettingsRole role) throws IOException {
        assertEquals(
                schemaDefaults(readSchema(role)),
                MAPPER.readTree(SettingsJson.defaults(role).toString()));
    }

    @ParameterizedTest
    @EnumSource(SettingsRole.class)
    void keysWithoutDefaultAreRequired(SettingsRole role) throws IOException {
        JsonNode schema = readSchema(role);
        Set<String> expected = new HashSet<>();
        schema.get("properties").fieldNames().forEachRemaining(expected::add);
        SettingsJson.defaults(role).fieldNames().forEachRemaining(expected::remove);
        Set<String> required = new HashSet<>();
        schema.get("required").forEach(key -> required.add(key.asText()));
        assertEquals(expected, required);
    }

    private static void assertSameKeys(Class<?> type, JsonNode schema, String path) {
        Set<String> keys = new TreeSet<>();
        schema.get("properties").fieldNames().forEachRemaining(keys::add);
        Set<String> components = new TreeSet<>();
        Arrays.stream(type.getRecordComponents()).map(RecordComponent::getName).forEach(components::add);
        assertEquals(components, keys, path);
        for (RecordComponent component : type.getRecordComponents()) {
            if (component.getType().isRecord()) {
                assertSameKeys(
                        component.getType(),
                        schema.get("properties").get(component.getName()),
                        path + "/" + component.getName());
            }
        }
    }

    /** Returns the defaults that a schema states, nested as in a settings file. */
    private static ObjectNode schemaDefaults(JsonNode schema) {
        ObjectNode tree = MAPPER.createObjectNode();
        schema.get("properties").properties().forEach(property -> {
            JsonNode value = property.getValue();
            if (value.has("default")) {
                tree.set(property.getKey(), value.get("default"));
            } else if (value.has("properties")) {
                tree.set(property.getKey(), schemaDefaults(value));
            }
        });
        return tree;
    }
}
