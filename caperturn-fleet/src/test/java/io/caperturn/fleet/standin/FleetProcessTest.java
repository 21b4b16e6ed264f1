package io.caperturn.fleet.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two entries and two sidecars as separate processes on stand-ins of the platform, with signals from outside. */
@Tag("process")
class FleetProcessTest {
    private static final int TASKS = 4;
    private static final long TASK_MILLISECONDS = 700;

    @TempDir
    private Path folder;

    private StandInSite site;

    @BeforeEach
    void startAll() throws Exception {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "io.caperturn.fleet.Main");
        site = new StandInSite(folder);
        site.addEntry("entry-1", command);
        site.addEntry("entry-2", command);
        site.addSidecar("sidecar-1", command, TASK_MILLISECONDS);
        site.addSidecar("sidecar-2", command, TASK_MILLISECONDS);
        for (String node : List.of("entry-1", "entry-2", "sidecar-1", "sidecar-2")) {
            site.start(node);
        }
        site.awaitService("entry-1");
        site.awaitService("entry-2");
    }

    @AfterEach
    void closeSite() throws Exception {
        site.close();
    }

    private static String identity(int number) {
        return String.format("%016x", 0xa000 + number);
    }

    private void signal(String node, String name) throws Exception {
        long process = site.process(node).pid();
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process))
                        .start()
                        .waitFor());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void jobEndsAndEachTaskStartsOnce(boolean stored) throws Exception {
        int before = site.starts();
        HttpResponse<String> answer =
                site.post("entry-1", identity(1), TASKS, stored).get();
        assertEquals(200, answer.statusCode(), answer::body);
        if (stored) {
            assertTrue(site.awaitState("entry-2", identity(1), "completed").contains("completed"));
        } else {
            assertTrue(answer.body().contains("completed"), answer::body);
        }
        assertEquals(before + TASKS, site.starts());
    }

    @Test
    void storedJobsOfAKilledEntryAreAdopted() throws Exception {
        int before = site.starts();
        for (int number = 0; number < 3; number++) {
            assertEquals(
                    200,
                    site.post("entry-1", identity(number), TASKS, true).get().statusCode());
        }
        signal("entry-1", "KILL");
        for (int number = 0; number < 3; number++) {
            assertTrue(site.awaitState("entry-2", identity(number), "completed").contains("completed"));
        }
        assertEquals(before + 3 * TASKS, site.starts(), "no task was started twice");
    }

    @Test
    void storedJobsOutliveTheLossOfAllProcesses() throws Exception {
        for (int number = 0; number < 3; number++) {
            assertEquals(
                    200,
                    site.post("entry-1", identity(number), TASKS, true).get().statusCode());
        }
        for (String node : List.of("entry-1", "entry-2", "sidecar-1", "sidecar-2")) {
            signal(node, "KILL");
        }
        for (String node : List.of("sidecar-1", "entry-1", "sidecar-2", "entry-2")) {
            site.start(node);
        }
        site.awaitService("entry-2");
        for (int number = 0; number < 3; number++) {
            assertTrue(site.awaitState("entry-2", identity(number), "completed").contains("completed"));
        }
    }

    @Test
    void jobsSurviveAnUpstreamThatFailsEverything() throws Exception {
        site.executor(0).fail(true);
        for (int number = 0; number < 6; number++) {
            HttpResponse<String> answer =
                    site.post("entry-1", identity(number), 1, false).get();
            assertTrue(answer.body().contains("completed"), answer::body);
        }
    }

    @Test
    void jobThatFailsAsOftenAsAllowedIsShownAsFailed() throws Exception {
        site.executor(0).fail(true);
        site.executor(1).fail(true);
        HttpResponse<String> answer =
                site.post("entry-1", identity(1), 1, false).get();
        assertEquals(200, answer.statusCode());
        assertTrue(answer.body().contains("failed"), answer::body);
    }

    @Test
    void entryThatIsToldToEndAnswersWhatItHas() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            answers.add(site.post("entry-1", identity(number), TASKS, false));
        }
        Thread.sleep(200);
        signal("entry-1", "TERM");
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.get(10, TimeUnit.SECONDS).statusCode());
        }
        assertTrue(site.process("entry-1").waitFor(10, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "sidecar-1"})
    void hangUpReadsTheSettingsAgain(String node) throws Exception {
        signal(node, "HUP");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!site.log(node).contains("event=reload") && System.nanoTime() < until) {
            Thread.sleep(50);
        }
        assertTrue(site.log(node).contains("event=reload"), "the reload is in the log");
        assertTrue(site.process(node).isAlive());
        assertEquals(200, site.post("entry-1", identity(7), 1, false).get().statusCode());
    }

    @Test
    void storeThatRefusesStopsStoredJobsOnly() throws Exception {
        site.store().refuse(503);
        HttpResponse<String> stored = site.post("entry-1", identity(1), 1, true).get();
        HttpResponse<String> waited =
                site.post("entry-1", identity(2), 1, false).get();
        site.store().refuse(0);
        assertEquals(503, stored.statusCode(), stored::body);
        assertTrue(stored.headers().firstValue("Retry-After").isPresent());
        assertEquals(200, waited.statusCode(), waited::body);
        Thread.sleep(1_000);
        assertEquals(410, site.get("entry-2", identity(1)).statusCode());
    }

    @Test
    void lostAnswersOfTheStoreMakeNoSecondJob() throws Exception {
        int before = site.starts();
        site.store().loseAnswers(true);
        CompletableFuture<HttpResponse<String>> first = site.post("entry-1", identity(1), TASKS, true);
        CompletableFuture<HttpResponse<String>> second = site.post("entry-2", identity(1), TASKS, true);
        Thread.sleep(700);
        site.store().loseAnswers(false);
        assertEquals(200, first.get().statusCode());
        assertEquals(200, second.get().statusCode());
        assertTrue(site.awaitState("entry-2", identity(1), "completed").contains("completed"));
        assertEquals(before + TASKS, site.starts());
    }
}
