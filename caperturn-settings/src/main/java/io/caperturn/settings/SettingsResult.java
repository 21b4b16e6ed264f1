package io.caperturn.settings;

import java.util.List;
import java.util.Objects;

/**
 * Result of reading and checking settings.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T extends Settings> {
    /**
     * The settings passed every check.
     *
     * @param <T> the type of the settings
     * @param settings the settings, with defaults filled in
     */
    record Valid<T extends Settings>(T settings) implements SettingsResult<T> {
        /** Checks that the settings are not null. */
        public Valid {
            Objects.requireNonNull(settings, "settings");
        }
    }

    /**
     * The settings are not valid.
     *
     * @param <T> the type of the settings
     * @param mistakes all mistakes found, at least one
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
