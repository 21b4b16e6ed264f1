package io.caperturn.replay;

import io.caperturn.replay.policy.ReplayPolicy;
import io.caperturn.replay.report.ReplayReport;
import io.caperturn.replay.report.ResponseTimePlot;
import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceFile;
import io.caperturn.replay.trace.TraceFormatException;
import io.caperturn.replay.trace.TraceGenerator;
import io.caperturn.replay.trace.TraceName;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Runner that replays a trace with all scheduling policies, prints the results, and writes them as JSON and their plot
 * as SVG.
 */
public final class ReplayRunner {
    /** Exit code of a successful replay. */
    public static final int SUCCESS = 0;

    /** Exit code if the trace can't be read, the deployment is unknown or an output can't be written. */
    public static final int FAILURE = 1;

    /** Default seed. */
    public static final long DEFAULT_SEED = 1;

    /** Default length of generated traces, in seconds. */
    public static final double DEFAULT_LENGTH_SECONDS = 60;

    private final long seed;
    private final double lengthSeconds;
    private final int entries;

    /**
     * Creates the runner.
     *
     * @param seed seed of generated traces and of the replay
     * @param lengthSeconds length of generated traces, in seconds
     * @param entries the number of simulated entry processes, 0 for the number in the deployment
     */
    public ReplayRunner(long seed, double lengthSeconds, int entries) {
        this.seed = seed;
        this.lengthSeconds = lengthSeconds;
        this.entries = entries;
    }

    /** Creates the runner with the default seed, the default length and the deployment's number of entries. */
    public ReplayRunner() {
        this(DEFAULT_SEED, DEFAULT_LENGTH_SECONDS, 0);
    }

    /**
     * Replays a trace.
     *
     * @param trace a trace file, or the name of a generated trace
     * @param deployment the name of a deployment
     * @param json the file for the report, or empty for none
     * @param svg the file for the plot, or empty for none
     * @param out the stream for the table and for error messages
     * @return {@link #SUCCESS} or {@link #FAILURE}
     */
    public int run(String trace, String deployment, Optional<Path> json, Optional<Path> svg, PrintStream out) {
        Optional<Deployment> chosen = Deployment.find(deployment).map(this::withEntries);
        if (chosen.isEmpty()) {
            out.println("unknown deployment " + deployment + "; known deployments are "
                    + Deployment.all().stream().map(Deployment::name).collect(Collectors.joining(", ")));
            return FAILURE;
        }
        try {
            ReplayReport report = Replay.run(load(trace, chosen.get()), chosen.get(), ReplayPolicy.all(), seed);
            report.print(out);
            if (json.isPresent()) {
                report.writeJson(json.get());
            }
            if (svg.isPresent()) {
                ResponseTimePlot.writeSvg(report, svg.get());
            }
            return SUCCESS;
        } catch (TraceFormatException malformed) {
            out.println("malformed trace " + trace + ": " + malformed.getMessage());
        } catch (IOException failure) {
            out.println("can't read or write: " + failure + "; generated traces are "
                    + Arrays.stream(TraceName.values()).map(TraceName::label).collect(Collectors.joining(", ")));
        }
        return FAILURE;
    }

    /**
     * Replays a trace from the command line. Exits the process with {@link #SUCCESS} or {@link #FAILURE}.
     *
     * @param arguments trace, then optionally deployment, JSON file, SVG file, number of entries and seed
     */
    public static void main(String[] arguments) {
        if (arguments.length == 0) {
            System.out.println("usage: TRACE [DEPLOYMENT [JSON [SVG [ENTRIES [SEED]]]]]");
            System.exit(FAILURE);
        }
        String deployment = arguments.length > 1 ? arguments[1] : Deployment.METALS_LAB.name();
        Optional<Path> json = arguments.length > 2 ? Optional.of(Path.of(arguments[2])) : Optional.empty();
        Optional<Path> svg = arguments.length > 3 ? Optional.of(Path.of(arguments[3])) : Optional.empty();
        int entries = arguments.length > 4 ? Integer.parseInt(arguments[4]) : 0;
        long seed = arguments.length > 5 ? Long.parseLong(arguments[5]) : DEFAULT_SEED;
        ReplayRunner command = new ReplayRunner(seed, DEFAULT_LENGTH_SECONDS, entries);
        System.exit(command.run(arguments[0], deployment, json, svg, System.out));
    }

    private Deployment withEntries(Deployment deployment) {
        return entries == 0 ? deployment : deployment.withEntries(entries);
    }

    private Trace load(String trace, Deployment deployment) throws TraceFormatException, IOException {
        Optional<TraceName> name = TraceName.find(trace);
        if (name.isPresent()) {
            return TraceGenerator.generate(name.get(), deployment.upstreams(), lengthSeconds, seed);
        }
        return TraceFile.read(Path.of(trace));
    }
}
