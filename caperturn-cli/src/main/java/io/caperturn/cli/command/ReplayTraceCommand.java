package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.caperturn.replay.ReplayCommand;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Replays a trace through the decision logic and its baselines. */
@Parameters(commandDescription = "Replay a recorded or generated trace and report response times and messages")
public final class ReplayTraceCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(description = "TRACE, a file or the name of a generated trace", required = true)
    private List<String> traces;

    @Parameter(names = "--deployment", description = "metals-lab or kalahari")
    private String deployment = "metals-lab";

    @Parameter(names = "--entries", description = "Number of entries; the deployment's if 0")
    private int entries;

    @Parameter(names = "--seed", description = "Seed of generated traces and of the replay")
    private long seed = ReplayCommand.DEFAULT_SEED;

    @Parameter(names = "--length-seconds", description = "Length of generated traces")
    private double lengthSeconds = ReplayCommand.DEFAULT_LENGTH_SECONDS;

    @Parameter(names = "--json", description = "File for the report as JSON")
    private Path json;

    @Parameter(names = "--svg", description = "File for the plot")
    private Path svg;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> mistakes() {
        List<String> mistakes = new ArrayList<>();
        if (traces.size() != 1) {
            mistakes.add("give one trace, not " + traces.size());
        }
        if (entries < 0) {
            mistakes.add("--entries must not be negative");
        }
        if (!(lengthSeconds > 0)) {
            mistakes.add("--length-seconds must be positive");
        }
        return mistakes;
    }

    /**
     * Returns the trace.
     *
     * @return a file, or the name of a generated trace
     */
    public String trace() {
        return traces.getFirst();
    }

    /**
     * Returns the deployment's name.
     *
     * @return the name
     */
    public String deployment() {
        return deployment;
    }

    /**
     * Returns the replay that the options ask for.
     *
     * @return the replay
     */
    public ReplayCommand replay() {
        return new ReplayCommand(seed, lengthSeconds, entries);
    }

    /**
     * Returns the file for the report.
     *
     * @return the file, or empty if none is wanted
     */
    public Optional<Path> json() {
        return Optional.ofNullable(json);
    }

    /**
     * Returns the file for the plot.
     *
     * @return the file, or empty if none is wanted
     */
    public Optional<Path> svg() {
        return Optional.ofNullable(svg);
    }
}
