package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.caperturn.replay.ReplayRunner;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Command {@code replay}, which simulates how this project's scheduling policy and simpler policies run a trace: a
 * recorded or generated sequence of submissions, cancellations and faults.
 */
@Parameters(commandDescription = "Replay a recorded or generated trace and report response times and messages")
public final class ReplayTraceCommand implements Command {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Parameter(description = "TRACE, a file or the name of a generated trace", required = true)
    private List<String> traces;

    @Parameter(names = "--deployment", description = "metals-lab or kalahari")
    private String deployment = "metals-lab";

    @Parameter(names = "--entries", description = "Number of entries; 0 for that of the deployment")
    private int entries;

    @Parameter(names = "--seed", description = "Seed of generated traces and of the replay")
    private long seed = ReplayRunner.DEFAULT_SEED;

    @Parameter(names = "--length-seconds", description = "Length of generated traces")
    private double lengthSeconds = ReplayRunner.DEFAULT_LENGTH_SECONDS;

    @Parameter(names = "--json", description = "File for the report as JSON")
    private Path jsonFile;

    @Parameter(names = "--svg", description = "File for the plot")
    private Path svgFile;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (traces.size() != 1) {
            mistakes.add("expected one TRACE, got " + traces.size());
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
     * Returns the name of the simulated deployment (set of entry processes and upstreams).
     *
     * @return the name
     */
    public String deployment() {
        return deployment;
    }

    /**
     * Creates the replay that the options describe.
     *
     * @return the replay, not yet run
     */
    public ReplayRunner createReplay() {
        return new ReplayRunner(seed, lengthSeconds, entries);
    }

    /**
     * Returns the file to which the report is written as JSON.
     *
     * @return the file, or empty to write none
     */
    public Optional<Path> jsonFile() {
        return Optional.ofNullable(jsonFile);
    }

    /**
     * Returns the file to which the plot is written as SVG.
     *
     * @return the file, or empty to write none
     */
    public Optional<Path> svgFile() {
        return Optional.ofNullable(svgFile);
    }
}
