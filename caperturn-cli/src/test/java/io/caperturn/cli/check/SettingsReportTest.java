package io.caperturn.cli.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Main;
import io.caperturn.cli.Terminal;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsReportTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
    private final Terminal terminal =
            new Terminal(new PrintStream(output), new PrintStream(messages), /* interactive= */ false);

    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"entry", "sidecar"})
    void exampleIsValidAndItsRoleIsDetected(String role) {
        String file = Path.of("..", "examples", role + ".json").toString();
        assertEquals(ExitCode.DONE, Main.run(new String[] {"check-settings", file}, terminal));
        assertTrue(output.toString().contains("valid settings of " + role), output.toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"check-settings", "sidecar --settings"})
    void everyMistakeIsReportedAndNothingStarts(String command) throws IOException {
        Path file = directory.resolve("sidecar.json");
        Files.writeString(file, """
                {"name":"sidecar-a","availabilityZone":"zone-a","announceAddress":"here:80","entrySeeds":[],"colour":1}
                """);
        String[] arguments = (command + " " + file).split(" ");
        assertEquals(ExitCode.WRONG_USAGE, Main.run(arguments, terminal));
        String report = messages.toString();
        assertTrue(report.contains("3 mistakes"), report);
        // A heading and 3 mistakes.
        assertEquals(4, report.lines().count(), report);
    }

    @Test
    void roleOptionOverridesDetectedRole() {
        String file = Path.of("..", "examples", "entry.json").toString();
        String[] arguments = {"check-settings", "--role", "sidecar", file};
        assertEquals(ExitCode.WRONG_USAGE, Main.run(arguments, terminal));
    }
}
