package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.List;

/** Command {@code entry}, which runs an entry (process that accepts submissions) until it is asked to stop. */
@Parameters(commandDescription = "Run an entry until SIGTERM, then drain it")
public final class EntryCommand implements Command {
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
