package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.process.ClientSubmission;
import io.caperturn.testkit.process.ClusterFixture;
import io.caperturn.testkit.process.ClusterOptions;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.ExecutionRecord;
import io.caperturn.testkit.relay.RelayMode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that an upstream that leaves service starts no task after 3 s, while another upstream still starts tasks. */
@Tag("process")
class LeavingUpstreamTest {
    private static final String LEAVING_UPSTREAM = "upstream-0";
    /** Time after the departure in which the upstream can still start tasks. */
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(3);
    /** Time after the grace period in which work is still submitted, so that a late start is recorded. */
    private static final Duration OBSERVATION = Duration.ofSeconds(1);

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Map<String, ?> SIDECAR_SETTINGS = Map.of(
            "upstream",
            Map.of(
                    "announcementTimeoutMilliseconds", 2_500,
                    "notStartedStatuses", List.of(),
                    "queuedPerSlot", 1,
                    "connectionIdleMilliseconds", 15_000));

    private static ClusterFixture cluster;
    private static int jobCount;

    /** Way in which the upstream leaves service, and the fault injected at the same time. */
    enum Departure {
        ANNOUNCED,
        ANNOUNCEMENTS_STOP,
        ANNOUNCED_WHILE_LINKS_ARE_SILENT,
        ANNOUNCED_WHILE_ENTRY_IS_PAUSED
    }

    @BeforeAll
    static void start() throws IOException {
        // 2 entry processes, 2 sidecar processes, 4 slots per upstream.
        cluster = ClusterFixture.start(
                "leaving",
                new ClusterOptions(2, 2, 4, List.of("assay"), FaultOutcomes.FAST_LINK_SETTINGS, SIDECAR_SETTINGS));
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @ParameterizedTest
    @EnumSource
    void startsNoTaskAfterGrace(Departure departure) {
        awaitStartsAtLeavingUpstream();
        Instant departureAt = Instant.now();
        leave(departure);
        Instant graceEnd = departureAt.plus(GRACE_PERIOD);
        submitUntil(graceEnd.plus(OBSERVATION));
        ExecutionRecord executionRecord = cluster.executionRecord();
        returnToService(departure);
        assertEquals(List.of(), executionRecord.startsAfter(LEAVING_UPSTREAM, graceEnd));
        assertTrue(
                !executionRecord.startsAfter("upstream-1", graceEnd).isEmpty(),
                "the other upstream starts tasks after the grace");
    }

    private void leave(Departure departure) {
        switch (departure) {
            case ANNOUNCED -> announceState("leaving");
            case ANNOUNCEMENTS_STOP -> postControl(Map.of("sidecar", addressIgnoringAnnouncements()));
            case ANNOUNCED_WHILE_LINKS_ARE_SILENT -> {
                cluster.entry(0).linkRelay().setMode(RelayMode.SILENT);
                cluster.entry(1).linkRelay().setMode(RelayMode.SILENT);
                announceState("leaving");
            }
            case ANNOUNCED_WHILE_ENTRY_IS_PAUSED -> {
                cluster.entry(0).process().pause();
                announceState("leaving");
            }
        }
    }

    private void returnToService(Departure departure) {
        if (departure == Departure.ANNOUNCED_WHILE_ENTRY_IS_PAUSED) {
            cluster.entry(0).process().resume();
        }
        postControl(Map.of(
                "state",
                "serving",
                "sidecar",
                cluster.sidecar(0).process().address("announce").toString()));
    }

    private void announceState(String state) {
        postControl(Map.of("state", state));
    }

    private void postControl(Map<String, ?> changes) {
        cluster.client().postControl(cluster.sidecar(0).upstream().address("http"), changes);
    }

    /** Returns the address of the platform's store, which rejects announcements, so that the sidecar receives none. */
    private static String addressIgnoringAnnouncements() {
        return cluster.platform().address().toString();
    }

    private void awaitStartsAtLeavingUpstream() {
        Instant startedAt = Instant.now();
        Conditions.await("a start at " + LEAVING_UPSTREAM, TIMEOUT, () -> {
            submitToBothEntries();
            return !cluster.executionRecord()
                    .startsAfter(LEAVING_UPSTREAM, startedAt)
                    .isEmpty();
        });
    }

    private void submitUntil(Instant endTime) {
        while (Instant.now().isBefore(endTime)) {
            submitToBothEntries();
        }
    }

    private void submitToBothEntries() {
        jobCount++;
        // 16 tasks of 20 ms, 3 s deadline.
        ClientSubmission job = new ClientSubmission("lab", "leaving-" + jobCount, "assay", 16, 20, 3_000);
        HostAndPort secondEntry = cluster.entry(1).httpAddress();
        cluster.client().submitJob(cluster.entry(0).httpAddress(), job.withKey(job.key() + "-at-0"));
        cluster.client().submitJob(secondEntry, job).join();
    }
}
