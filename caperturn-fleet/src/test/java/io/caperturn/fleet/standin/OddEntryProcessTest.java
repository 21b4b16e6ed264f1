package io.caperturn.fleet.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that processes with the stack size of the deployment go on beside what another writer left. */
@Tag("process")
class OddEntryProcessTest {
    private static final String JOB = "00000000000a0dd1";
    private static final List<String> NODES = List.of("entry-1", "entry-2", "sidecar-1", "sidecar-2");

    @TempDir
    private Path folder;

    private StandInDeployment deployment;

    /** Content of a row or of a heartbeat; the value of a row is normally encoded in base64. */
    enum OddContent {
        EMPTY(""),
        NESTED("{\"service\":" + "[".repeat(990) + "]".repeat(990) + "}"),
        NESTED_DEEPLY("[".repeat(40_000)),
        NUMBER_TOO_LARGE("{\"service\":\"work\",\"state\":\"ready\",\"address\":\"10.0.0.1:80\","
                + "\"sequence\":99999999999999999999,\"slots\":1e999,\"version\":" + "9".repeat(3_000) + "}"),
        PORT_OUT_OF_RANGE("{\"service\":\"work\",\"state\":\"ready\",\"address\":\"10.0.0.1:99999\","
                + "\"sequence\":9223372036854775807,\"born\":9223372036854775807,"
                + "\"capacity\":{\"cpu\":9223372036854775807,\"memMb\":9}}");

        private final String text;

        OddContent(String text) {
            this.text = text;
        }
    }

    @BeforeEach
    void startDeployment() throws Exception {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "io.caperturn.fleet.Main");
        deployment = new StandInDeployment(folder);
        deployment.addEntry("entry-1", command);
        deployment.addEntry("entry-2", command);
        deployment.addSidecar("sidecar-1", command, /* taskMilliseconds= */ 700);
        deployment.addSidecar("sidecar-2", command, /* taskMilliseconds= */ 700);
        for (String node : NODES) {
            deployment.start(node);
        }
        deployment.awaitReady("entry-1");
        deployment.awaitReady("entry-2");
    }

    @AfterEach
    void closeDeployment() {
        deployment.close();
    }

    private void writeOddRows(OddContent odd) {
        String encoded = Base64.getEncoder().encodeToString(odd.text.getBytes(StandardCharsets.UTF_8));
        for (Object value : List.of(encoded, "*", 7)) {
            String key = "odd-" + String.valueOf(value).length();
            deployment.store().writeRow("caperturn-members", "", key, value);
            for (int part = 0; part < 4; part++) {
                deployment.store().writeRow("caperturn-open", "p" + part, key, value);
            }
            deployment.store().writeRow("op", "", "config", value);
            deployment.store().writeRow("op", "", key, value);
        }
    }

    @ParameterizedTest
    @EnumSource(OddContent.class)
    void jobsAreCompletedBesideAnOddEntry(OddContent odd) throws Exception {
        writeOddRows(odd);
        for (String identity : List.of("i-odd", "i-sidecar-1", "i-sidecar-2")) {
            assertEquals(200, deployment.announce("sidecar-1", identity, odd.text));
            assertEquals(200, deployment.announce("sidecar-2", identity, odd.text));
        }
        deployment.awaitLogged("event=record-unreadable");
        deployment.store().configure(Map.of("version", 900, "routes", List.of(), "limits", Map.of()));
        assertTrue(deployment.awaitLog("entry-1", "version=900"), () -> "entry-1 follows no configuration");
        assertTrue(deployment.awaitLog("entry-2", "version=900"), () -> "entry-2 follows no configuration");
        deployment.configureQueue(/* version= */ 901);
        assertTrue(deployment.awaitLog("entry-1", "version=901"));
        assertTrue(deployment.awaitLog("entry-2", "version=901"));

        HttpResponse<String> answer = deployment
                .post("entry-1", JOB, /* tasks= */ 4, /* stored= */ true)
                .get();
        assertEquals(200, answer.statusCode(), answer::body);
        deployment.process("entry-1").destroyForcibly().waitFor();
        assertTrue(deployment.awaitState("entry-2", JOB, "completed").contains("completed"));
        for (String node : NODES) {
            assertEquals(!node.equals("entry-1"), deployment.process(node).isAlive(), node);
            assertTrue(!deployment.log(node).contains("StackOverflowError"), node);
            assertTrue(!deployment.log(node).contains("event=exception"), node);
        }
    }
}
