package io.caperturn.settings;

import java.util.Objects;

/**
 * One mistake in a settings file.
 *
 * @param path JSON pointer to the value, empty for the whole file
 * @param value the given value as JSON text, {@code absent}, or a description of what is wrong
 * @param allowed description of the allowed values
 */
public record SettingsMistake(String path, String value, String allowed) {
    /** Checks that no component is null. */
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
