package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.List;

/** Command {@code sidecar}, which runs a sidecar (process that passes tasks to an upstream) until asked to stop. */
@Parameters(commandDescription = "Run a sidecar until SIGTERM, then drain it")
public final class SidecarCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(names = "--settings", description = "Settings file, JSON", required = true)
    private Path settingsFile;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        return List.of();
    }

    /**
     * Returns the settings file.
     *
     * @return the file
     */
    public Path settingsFile() {
        return settingsFile;
    }
}
