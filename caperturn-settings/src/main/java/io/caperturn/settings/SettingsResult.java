package io.caperturn.settings;

import java.util.List;
import java.util.Objects;

/**
 * What came of reading settings.
 *
 * @param <T> the settings that were asked for
 */
public sealed interface SettingsResult<T extends Settings> {
    /**
     * The settings passed every check.
     *
     * @param <T> the settings that were asked for
     * @param settings the settings, defaults filled in
     */
    record Valid<T extends Settings>(T settings) implements SettingsResult<T> {
        /** Checks that the settings are present. */
        public Valid {
            Objects.requireNonNull(settings, "settings");
        }
    }

    /**
     * The settings can't be used.
     *
     * @param <T> the settings that were asked for
     * @param mistakes every mistake that was found, at least one
     */
    record Invalid<T extends Settings>(List<SettingsMistake> mistakes) implements SettingsResult<T> {
        /** Copies the mistakes and checks that there is one. */
        public Invalid {
            mistakes = List.copyOf(mistakes);
            if (mistakes.isEmpty()) {
                throw new IllegalArgumentException("invalid settings have at least one mistake");
            }
        }
    }
}
