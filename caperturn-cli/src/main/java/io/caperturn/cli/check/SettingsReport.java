package io.caperturn.cli.check;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Terminal;
import io.caperturn.settings.Settings;
import io.caperturn.settings.SettingsLoader;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsResult;
import io.caperturn.settings.SettingsRole;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Report on the mistakes of a settings file. */
public final class SettingsReport {
    private SettingsReport() {}

    /**
     * Checks a settings file and prints the result.
     *
     * @param file the file
     * @param role the role, entry or sidecar, whose settings the file holds, or empty to detect it from the keys of the
     *     file; entry if that fails
     * @param terminal the terminal to print to
     * @return {@link ExitCode#DONE} if the file is valid, {@link ExitCode#WRONG_USAGE} otherwise
     */
    public static ExitCode check(Path file, Optional<SettingsRole> role, Terminal terminal) {
        SettingsRole checkedRole = role.or(() -> detectRole(file)).orElse(SettingsRole.ENTRY);
        return switch (SettingsLoader.load(file, checkedRole.type())) {
            case SettingsResult.Valid<? extends Settings>(Settings settings) -> {
                terminal.output().println(file + ": valid settings of " + checkedRole.label() + " " + settings.name());
                yield ExitCode.DONE;
            }
            case SettingsResult.Invalid<? extends Settings>(List<SettingsMistake> mistakes) -> {
                print(file, checkedRole, mistakes, terminal);
                yield ExitCode.WRONG_USAGE;
            }
        };
    }

    /**
     * Prints the mistakes of a settings file, one a line after a heading.
     *
     * @param file the file
     * @param role the role that it was checked for
     * @param mistakes its mistakes
     * @param terminal the terminal to print to
     */
    public static void print(Path file, SettingsRole role, List<SettingsMistake> mistakes, Terminal terminal) {
        terminal.messages().println(file + ": " + mistakes.size() + " mistakes in settings of " + role.label());
        mistakes.forEach(mistake -> terminal.messages().println("  " + mistake));
    }

    private static Optional<SettingsRole> detectRole(Path file) {
        try {
            return SettingsRole.detect(Files.readString(file));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
