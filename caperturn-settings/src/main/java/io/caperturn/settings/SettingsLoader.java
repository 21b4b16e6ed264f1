package io.caperturn.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.internal.SchemaCheck;
import io.caperturn.settings.internal.SettingsJson;
import io.caperturn.settings.internal.ValueCheck;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads settings from JSON and checks them.
 *
 * <p>A first pass checks the file against the schema of its role, a second one what a schema can't say: addresses and
 * relations between values. Both passes report into one list, so that a file is mended in one go.
 */
public final class SettingsLoader {
    private SettingsLoader() {}

    /**
     * Reads and checks a file.
     *
     * @param <T> the settings that are asked for
     * @param file the file, UTF-8
     * @param type the record's class
     * @return the settings, or every mistake; an unreadable file is one mistake
     */
    public static <T extends Settings> SettingsResult<T> load(Path file, Class<T> type) {
        try {
            return parse(Files.readString(file), type);
        } catch (IOException e) {
            String cause = e.getClass().getSimpleName();
            return new SettingsResult.Invalid<>(
                    List.of(new SettingsMistake("", file + " (" + cause + ")", "a readable file in UTF-8")));
        }
    }

    /**
     * Checks settings given as text.
     *
     * @param <T> the settings that are asked for
     * @param text the JSON text
     * @param type the record's class
     * @return the settings, or every mistake; malformed JSON is one mistake that names line and column
     */
    public static <T extends Settings> SettingsResult<T> parse(String text, Class<T> type) {
        return switch (SettingsJson.parse(text)) {
            case SettingsJson.Parsed.Malformed(SettingsMistake mistake) ->
                new SettingsResult.Invalid<>(List.of(mistake));
            case SettingsJson.Parsed.Tree(JsonNode node) -> check(node, type);
        };
    }

    private static <T extends Settings> SettingsResult<T> check(JsonNode node, Class<T> type) {
        SettingsRole role = SettingsRole.of(type);
        List<SettingsMistake> mistakes = new ArrayList<>(SchemaCheck.of(role).check(node));
        if (!(node instanceof ObjectNode given)) {
            return new SettingsResult.Invalid<>(mistakes);
        }
        ObjectNode complete = SettingsJson.withDefaults(given, role);
        mistakes.addAll(ValueCheck.of(role).check(complete));
        if (!mistakes.isEmpty()) {
            return new SettingsResult.Invalid<>(mistakes);
        }
        return new SettingsResult.Valid<>(SettingsJson.bind(complete, type));
    }
}
