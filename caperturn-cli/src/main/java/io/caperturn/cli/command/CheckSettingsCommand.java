package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.caperturn.settings.SettingsRole;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Command {@code check-settings}, which checks the settings file of an entry or sidecar process without starting it.
 */
@Parameters(commandDescription = "Check a settings file and report every mistake")
public final class CheckSettingsCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(description = "FILE", required = true)
    private List<String> files;

    @Parameter(names = "--role", description = "entry or sidecar; by default detected from the keys of the file")
    private String role;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (files.size() != 1) {
            mistakes.add("expected one FILE, got " + files.size());
        }
        if (role != null && role().isEmpty()) {
            mistakes.add("--role is entry or sidecar, not " + role);
        }
        return mistakes;
    }

    /**
     * Returns the file to check.
     *
     * @return the file
     */
    public Path file() {
        return Path.of(files.getFirst());
    }

    /**
     * Returns the role, entry or sidecar, whose settings the file holds.
     *
     * @return the role, or empty to detect it from the keys of the file
     */
    public Optional<SettingsRole> role() {
        return Arrays.stream(SettingsRole.values())
                .filter(candidate -> candidate.label().equals(role))
                .findFirst();
    }
}
