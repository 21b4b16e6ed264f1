package io.caperturn.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceFile;
import io.caperturn.replay.trace.TraceGenerator;
import io.caperturn.replay.trace.TraceName;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the replay command and trace files. */
class ReplayRunnerTest {
    @TempDir
    private Path folder;

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    /** Replays a trace with seed 1, a length of 5 s and 2 entry processes; returns the exit code. */
    private int run(String trace, String deployment) {
        return new ReplayRunner(1, 5, 2)
                .run(
                        trace,
                        deployment,
                        Optional.of(folder.resolve("report.json")),
                        Optional.of(folder.resolve("plot.svg")),
                        new PrintStream(printed, true, StandardCharsets.UTF_8));
    }

    @Test
    void tableHasOneLinePerPolicy() {
        assertEquals(ReplayRunner.SUCCESS, run("steady-60", "metals-lab"));
        // Two heading lines and six policies.
        assertEquals(8, printed.toString(StandardCharsets.UTF_8).lines().count());
    }

    @Test
    void reportAndPlotAreWritten() throws Exception {
        run("steady-60", "kalahari");
        assertTrue(Files.readString(folder.resolve("report.json")).contains("\"percentile99\""));
        assertTrue(Files.readString(folder.resolve("plot.svg")).contains("<svg"));
    }

    @ParameterizedTest
    @CsvSource({"no-such-trace, metals-lab", "steady-60, no-such-deployment"})
    void unknownTraceOrDeploymentFails(String trace, String deployment) {
        assertEquals(ReplayRunner.FAILURE, run(trace, deployment));
    }

    @Test
    void malformedTraceLineIsReportedWithItsNumber() throws Exception {
        Path file = folder.resolve("trace.jsonl");
        Files.writeString(file, "{\"name\":\"x\"}\n{\"type\":\"submission\",\"at\":\"soon\"}\n");
        assertEquals(ReplayRunner.FAILURE, run(file.toString(), "metals-lab"));
        assertTrue(printed.toString(StandardCharsets.UTF_8).contains("line 2"));
    }

    @ParameterizedTest
    @EnumSource(TraceName.class)
    void writtenTraceIsReadBackUnchanged(TraceName name) throws Exception {
        Trace trace = TraceGenerator.generate(name, Deployment.Upstreams.DEFAULT, 3, 7);
        Path file = folder.resolve("trace.jsonl");
        TraceFile.write(trace, file);
        assertEquals(trace, TraceFile.read(file));
    }

    @Test
    void sameSeedGivesTheSameReport() {
        run("burst", "metals-lab");
        String first = printed.toString(StandardCharsets.UTF_8);
        printed.reset();
        run("burst", "metals-lab");
        assertEquals(first, printed.toString(StandardCharsets.UTF_8));
    }
}
