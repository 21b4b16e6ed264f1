package io.caperturn.fleet.standin;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.known.KnownFailures;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests with real processes that no task of a job which is not stored runs twice at the same time if its caller submits
 * the job again after a disruption.
 *
 * <p>Each sidecar has an executor; a record of the runs of all executors decides. A seed selects the disruptions and
 * the jobs; the times of the processes differ between runs of one seed.
 */
@Tag("process")
@ExtendWith(KnownFailures.class)
class ResubmittedJobsProcessTest {
    private static final int ENTRIES = 3;
    private static final int SIDECARS = 6;
    /** Disruptions that overlap, and the time within which they begin, in milliseconds. */
    private static final int DISRUPTIONS_PER_SERIES = 3;

    private static final int SERIES_MILLISECONDS = 1_200;
    private static final int SERIES = 3;
    private static final long SERIES_INTERVAL_MILLISECONDS = 3_500;
    private static final long FIRST_SERIES_MILLISECONDS = 1_500;
    private static final long TRAFFIC_MILLISECONDS = 11_500;
    private static final long REMAINING_MILLISECONDS = 9_000;

    @TempDir
    private static Path archiveFolder;

    private static ArchivedCommand command;

    @TempDir
    private Path folder;

    @BeforeAll
    static void createArchives() throws Exception {
        command = ArchivedCommand.create(archiveFolder);
    }

    static List<Long> seeds() {
        return LongStream.range(
                        Long.getLong("caperturn.soak.first", 1),
                        Long.getLong("caperturn.soak.first", 1) + Long.getLong("caperturn.soak.seeds", 2))
                .boxed()
                .toList();
    }

    private static String identity(long number) {
        return String.format("%016x", 0xa00000L + number);
    }

    private static void assertNoOverlap(DisruptedDeployment deployment, String name, String disruptions)
            throws IOException {
        List<RunRecord.Overlap> overlaps = deployment.runs().overlaps();
        Path logs = Path.of("target", "soak", name);
        deployment.copyLogs(logs);
        StringBuilder details = new StringBuilder(disruptions).append('\n');
        for (RunRecord.Overlap overlap : overlaps) {
            details.append(overlap.description()).append('\n');
            details.append(deployment.logLines(overlap.job()));
        }
        Files.writeString(logs.resolve("overlaps.txt"), details);
        assertTrue(
                overlaps.isEmpty(),
                () -> overlaps.size() + " tasks ran twice at the same time, " + name + ", disruptions: " + disruptions
                        + "; first: " + overlaps.getFirst().description());
    }

    private static Thread begin(long delayMilliseconds, Runnable action) {
        return Thread.ofVirtual().start(() -> {
            pause(delayMilliseconds);
            action.run();
        });
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Submits jobs of one task to the first entry, and later attempts to the other entries. */
    private static ResubmittingCallers submitToFirstEntry(DisruptedDeployment deployment, long firstNumber, int jobs) {
        ResubmittingCallers callers = new ResubmittingCallers(
                /* deadlineMilliseconds= */ 20_000,
                deployment::callerPort,
                (job, attempt) -> deployment
                        .entries()
                        .get(attempt == 0 ? 0 : 1 + Math.floorMod(job.identity().hashCode(), ENTRIES - 1)));
        for (int number = 0; number < jobs; number++) {
            callers.submit(new ResubmittingCallers.Job(identity(firstNumber + number), /* tasks= */ 1, 4_000));
            pause(30);
        }
        pause(1_500);
        return callers;
    }

    @Test
    void tasksDontRunTwiceWhenAllConnectionsOfAnEntryAreReset() throws Exception {
        try (DisruptedDeployment deployment = new DisruptedDeployment(folder, command, ENTRIES, SIDECARS)) {
            for (int round = 0; round < 2; round++) {
                ResubmittingCallers callers = submitToFirstEntry(deployment, 1_000 * round, 30);
                deployment.resetAllConnections("entry-1");
                callers.awaitAnswers();
                assertTrue(callers.resubmissions() >= 30, "callers submitted " + callers.resubmissions() + " again");
            }
            assertNoOverlap(deployment, "connections-reset", "all connections of entry-1 are reset");
        }
    }

    @Test
    void tasksDontRunTwiceWhenAnEntryAndMostSidecarsAreKilled() throws Exception {
        try (DisruptedDeployment deployment = new DisruptedDeployment(folder, command, ENTRIES, /* sidecars= */ 9)) {
            for (int round = 0; round < 3; round++) {
                ResubmittingCallers callers = submitToFirstEntry(deployment, 1_000 * round, 30);
                Map<String, Long> downtimes = new HashMap<>();
                for (int sidecar = 0; sidecar < 7; sidecar++) {
                    downtimes.put(deployment.sidecars().get(sidecar), 70L * sidecar);
                }
                downtimes.put("entry-1", 500L);
                deployment.kill(downtimes);
                callers.awaitAnswers();
                assertTrue(callers.resubmissions() > 0);
            }
            assertNoOverlap(deployment, "many-killed", "entry-1 and seven sidecars of nine are killed");
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void tasksDontRunTwiceDuringOverlappingDisruptions(long seed) throws Exception {
        Random random = new Random(seed);
        StringBuffer history = new StringBuffer();
        try (DisruptedDeployment deployment = new DisruptedDeployment(folder, command, ENTRIES, SIDECARS)) {
            ResubmittingCallers callers = new ResubmittingCallers(
                    /* deadlineMilliseconds= */ 7_000,
                    deployment::callerPort,
                    (job, attempt) -> selectEntry(
                            deployment, new Random(31 * job.identity().hashCode() + attempt)));
            List<Thread> disruptions = new ArrayList<>();
            for (int series = 0; series < SERIES; series++) {
                for (int number = 0; number < DISRUPTIONS_PER_SERIES; number++) {
                    Disruption disruption = Disruption.values()[random.nextInt(Disruption.values().length)];
                    Random choices = new Random(random.nextLong());
                    long at = FIRST_SERIES_MILLISECONDS
                            + series * SERIES_INTERVAL_MILLISECONDS
                            + random.nextInt(SERIES_MILLISECONDS);
                    disruptions.add(begin(at, () -> {
                        history.append(disruption)
                                .append(" at ")
                                .append(deployment.runs().now())
                                .append('\n');
                        disruption.cause(deployment, callers, choices);
                    }));
                }
            }
            long end = System.nanoTime() + TRAFFIC_MILLISECONDS * 1_000_000;
            for (int number = 0; System.nanoTime() < end; number++) {
                callers.submit(new ResubmittingCallers.Job(
                        identity(number), 1 + random.nextInt(3), 300 + random.nextInt(3_700)));
                pause(random.nextInt(260));
            }
            for (Thread disruption : disruptions) {
                disruption.join();
            }
            pause(REMAINING_MILLISECONDS);
            callers.stop();
            System.out.println("seed " + seed + ": " + deployment.runs().runCount() + " runs, "
                    + deployment.runs().repeatedTaskCount() + " tasks with several, " + callers.resubmissions()
                    + " jobs submitted again, " + callers.completed() + " completed, "
                    + deployment.runs().overlaps().size() + " overlaps");
            assertNoOverlap(deployment, "seed-" + seed, "\n" + history);
            assertTrue(callers.resubmissions() > 0, "no job was submitted again");
            assertTrue(callers.completed() > 0, "no job was completed");
        }
    }

    private static String selectEntry(DisruptedDeployment deployment, Random random) {
        List<String> living = new ArrayList<>(deployment.livingEntries());
        if (living.isEmpty()) {
            living.addAll(deployment.entries());
        }
        Collections.shuffle(living, random);
        return living.getFirst();
    }
}
