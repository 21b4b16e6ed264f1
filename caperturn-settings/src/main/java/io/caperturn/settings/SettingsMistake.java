package io.caperturn.settings;

import java.util.Objects;

/**
 * One mistake in a settings file.
 *
 * @param path JSON pointer to the value, empty for the whole file
 * @param value what was given, as JSON text, or {@code absent}
 * @param allowed what may stand there
 */
public record SettingsMistake(String path, String value, String allowed) {
    /** Checks that all parts are present. */
    public SettingsMistake {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        return (path.isEmpty() ? "(file)" : path) + ": " + value + " is not allowed; allowed: " + allowed;
    }
}
