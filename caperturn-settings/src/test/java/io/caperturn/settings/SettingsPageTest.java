package io.caperturn.settings;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that the settings page of the documentation agrees with the schemas. */
class SettingsPageTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @ParameterizedTest
    @EnumSource(SettingsRole.class)
    void pageListsEveryKeyWithDefaultAndBounds(SettingsRole role) throws IOException {
        String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
        String section = page.substring(page.indexOf("## " + (role == SettingsRole.ENTRY ? "Entry" : "Sidecar")));
        try (InputStream stream = SettingsRole.class.getResourceAsStream("/schema/" + role.label() + ".schema.json")) {
            assertKeysListed(MAPPER.readTree(stream), "", section);
        }
    }

    private static void assertKeysListed(JsonNode schema, String prefix, String section) {
        schema.get("properties").properties().forEach(property -> {
            String key = prefix + property.getKey();
            JsonNode value = property.getValue();
            if (value.has("properties")) {
                assertKeysListed(value, key + ".", section);
                return;
            }
            String line = section.lines()
                    .filter(candidate -> candidate.startsWith("| `" + key + "` |"))
                    .findFirst()
                    .orElse("");
            // The page's word for a key without default.
            String expectedDefault = value.has("default") ? value.get("default").toString() : "needed";
            String expectedBounds = value.has("minimum") ? value.get("minimum") + " to " + value.get("maximum") : "";
            assertTrue(line.contains("| " + expectedDefault + " | " + expectedBounds), key + ": " + line);
        });
    }
}
