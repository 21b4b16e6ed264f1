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
 * Loader that reads settings from JSON and checks them.
 *
 * <p>A first pass checks the file against the schema of its role. A second pass checks addresses and relations between
 * values, which a schema can't express. The mistakes of both passes are reported together, so that a file can be
 * corrected in one go.
 */
public final class SettingsLoader {
    private SettingsLoader() {}

    /**
     * Reads and checks a file.
     *
     * @param <T> the type of the settings
     * @param file the file, encoded in UTF-8
     * @param type the record's class
     * @return the settings, or all mistakes; an unreadable file is one mistake
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
     * @param <T> the type of the settings
     * @param text the JSON text
     * @param type the record's class
     * @return the settings, or all mistakes; malformed JSON is one mistake that contains line and column
     */
    public static <T extends Settings> SettingsResult<T> parse(String text, Class<T> type) {
        return switch (SettingsJson.parse(text)) {
            case SettingsJson.ParseResult.Malformed(SettingsMistake mistake) ->
                new SettingsResult.Invalid<>(List.of(mistake));
            case SettingsJson.ParseResult.Tree(JsonNode node) -> check(node, type);
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
