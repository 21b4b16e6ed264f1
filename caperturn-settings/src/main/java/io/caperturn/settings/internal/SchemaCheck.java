package io.caperturn.settings.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsRole;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** First pass of checks: of the settings against the JSON schema of their role. */
public final class SchemaCheck {
    private final Schema schema;

    private SchemaCheck(Schema schema) {
        this.schema = schema;
    }

    /**
     * Loads the schema of a role from the resources.
     *
     * @param role the role
     * @return the check
     */
    public static SchemaCheck of(SettingsRole role) {
        String resource = "/schema/" + role.label() + ".schema.json";
        try (InputStream stream = SchemaCheck.class.getResourceAsStream(resource)) {
            SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
            return new SchemaCheck(registry.getSchema(stream));
        } catch (IOException e) {
            throw new UncheckedIOException("can't read resource " + resource, e);
        }
    }

    /**
     * Checks a JSON tree against the schema.
     *
     * @param node the tree of the settings file
     * @return all violations of the schema
     */
    public List<SettingsMistake> check(JsonNode node) {
        return schema.validate(node).stream()
                .map(error -> toMistake(error, node))
                .distinct()
                .toList();
    }

    private SettingsMistake toMistake(Error error, JsonNode root) {
        String location = error.getInstanceLocation().toString();
        JsonNode value = root.at(location);
        return switch (error.getKeyword()) {
            case "additionalProperties" ->
                new SettingsMistake(
                        location + "/" + error.getProperty(),
                        "unknown key",
                        "one of " + String.join(", ", knownKeys(error)));
            case "required" ->
                new SettingsMistake(location + "/" + error.getProperty(), "absent", "a value, as it has no default");
            case "type" -> new SettingsMistake(location, value.toString(), "a value of type " + schemaValue(error));
            case "minimum" -> new SettingsMistake(location, value.toString(), "at least " + schemaValue(error));
            case "maximum" -> new SettingsMistake(location, value.toString(), "at most " + schemaValue(error));
            case "minItems" ->
                new SettingsMistake(location, value.toString(), "at least " + schemaValue(error) + " items");
            case "maxItems" ->
                new SettingsMistake(location, value.toString(), "at most " + schemaValue(error) + " items");
            case "pattern" ->
                new SettingsMistake(location, value.toString(), "text that matches " + schemaValue(error));
            default -> new SettingsMistake(location, value.toString(), error.getMessage());
        };
    }

    private static String schemaValue(Error error) {
        return error.getSchemaNode().asText();
    }

    /** Returns the keys that the schema lists next to the {@code additionalProperties} that the error refers to. */
    private List<String> knownKeys(Error error) {
        String location = error.getSchemaLocation().getFragment().toString();
        String properties = location.substring(0, location.lastIndexOf('/')) + "/properties";
        List<String> keys = new ArrayList<>();
        schema.getSchemaNode().at(properties).fieldNames().forEachRemaining(keys::add);
        return keys;
    }
}
