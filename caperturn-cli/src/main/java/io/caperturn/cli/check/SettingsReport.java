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

/** Report on a settings file. */
public final class SettingsReport {
    private SettingsReport() {}

    /**
     * Checks a file and reports.
     *
     * @param file the file
     * @param role the program that it is for, or empty if its keys decide
     * @param terminal where the report goes
     * @return {@link ExitCode#DONE} if the file is valid, {@link ExitCode#WRONG_USAGE} otherwise
     */
    public static ExitCode check(Path file, Optional<SettingsRole> role, Terminal terminal) {
        SettingsRole checked = role.or(() -> detect(file)).orElse(SettingsRole.ENTRY);
        return switch (SettingsLoader.load(file, checked.type())) {
            case SettingsResult.Valid<? extends Settings>(Settings settings) -> {
                terminal.output().println(file + ": valid settings of " + checked.label() + " " + settings.name());
                yield ExitCode.DONE;
            }
            case SettingsResult.Invalid<? extends Settings>(List<SettingsMistake> mistakes) -> {
                print(file, checked, mistakes, terminal);
                yield ExitCode.WRONG_USAGE;
            }
        };
    }

    /**
     * Prints the mistakes of a file, one a line.
     *
     * @param file the file
     * @param role the program that it was checked for
     * @param mistakes its mistakes
     * @param terminal where the report goes
     */
    public static void print(Path file, SettingsRole role, List<SettingsMistake> mistakes, Terminal terminal) {
        terminal.messages().println(file + ": " + mistakes.size() + " mistakes in settings of " + role.label());
        mistakes.forEach(mistake -> terminal.messages().println("  " + mistake));
    }

    private static Optional<SettingsRole> detect(Path file) {
        try {
            return SettingsRole.detect(Files.readString(file));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
