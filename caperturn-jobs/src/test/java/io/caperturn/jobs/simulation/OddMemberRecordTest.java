package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.owner.ProcessRegistration;
import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordTransaction;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a record of another writer in the table of processes names no process, and that the others hold. */
class OddMemberRecordTest {
    private static final int ENTRIES = 3;
    private static final int JOBS = 12;
    private static final String NAME = "odd";
    private static final int VARINT_CONTINUES = 0x80;

    /** Record of another writer. */
    enum OddRecord {
        EMPTY(new byte[0]),
        NESTED("[".repeat(2_000).getBytes(StandardCharsets.UTF_8)),
        UNKNOWN_FIELD(text(15, "x")),
        WITHOUT_ADDRESS(join(text(2, NAME), text(3, "odd~1"))),
        WITHOUT_INCARNATION(join(text(2, NAME), text(4, "10.0.0.1:80"))),
        PORT_OUT_OF_RANGE(join(text(2, NAME), text(3, "odd~1"), text(4, "10.0.0.1:70000"))),
        ROLE_TOO_LARGE(join(tooLargeNumber(1), text(2, NAME), text(3, "odd~1"), text(4, "10.0.0.1:80"))),
        NODE_OF_ANOTHER_RECORD(join(text(2, "entry-1"), text(3, "odd~1"), text(4, "10.0.0.1:80")));

        private final byte[] value;

        OddRecord(byte[] value) {
            this.value = value;
        }
    }

    private static byte[] text(int field, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return join(new byte[] {(byte) (field << 3 | 2), (byte) bytes.length}, bytes);
    }

    private static byte[] tooLargeNumber(int field) {
        byte continued = (byte) (VARINT_CONTINUES | 1);
        return new byte[] {(byte) (field << 3), continued, continued, continued, continued, continued, continued, 1};
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }

    private static void write(SimulatedFleet fleet, byte[] value) {
        RecordKey key = new RecordKey(ProcessRegistration.MEMBER_TABLE, /* part= */ "", NAME);
        fleet.store()
                .viewFor(fleet.loop("entry-2"))
                .transact(new RecordTransaction(Map.of(), Map.of(key, value), List.of()), outcome -> {});
        fleet.time().runUntil(fleet.time().now() + 500);
    }

    private static long count(SimulatedFleet fleet, String event) {
        return fleet.logLines()
                .lines()
                .filter(line -> line.contains(' ' + event + ' '))
                .count();
    }

    @ParameterizedTest
    @EnumSource(OddRecord.class)
    void oddRecordIsLoggedOnceAndNeverRemoved(OddRecord odd) {
        SimulatedFleet fleet = new SimulatedFleet(ENTRIES, /* sidecars= */ 2, task -> 300);
        write(fleet, odd.value);
        int writesBefore = fleet.store().callCount("write");
        fleet.time().runUntil(fleet.time().now() + 60_000);
        assertEquals(0, fleet.store().callCount("write") - writesBefore, fleet::logLines);
        assertEquals(0, count(fleet, "resigned"), fleet::logLines);
        assertEquals(ENTRIES, count(fleet, "record-unreadable member odd"), fleet::logLines);
    }

    @ParameterizedTest
    @EnumSource(OddRecord.class)
    void jobsOfALostEntryAreAdoptedBesideAnOddRecord(OddRecord odd) {
        SimulatedFleet fleet = new SimulatedFleet(ENTRIES, /* sidecars= */ 2, task -> 300);
        write(fleet, odd.value);
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "job-" + number, SampleJobs.plan(2, /* durable= */ true));
        }
        fleet.time().runUntil(fleet.time().now() + 100);
        fleet.kill("entry-0");
        fleet.time().runUntil(fleet.time().now() + 30_000);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(1, "job-" + number),
                    "job-" + number);
        }
    }

    @ParameterizedTest
    @EnumSource(OddRecord.class)
    void allProcessesStartBesideAnOddRecord(OddRecord odd) {
        SimulatedFleet fleet = new SimulatedFleet(ENTRIES, /* sidecars= */ 2, task -> 300);
        write(fleet, odd.value);
        List<String> nodes = List.of("entry-0", "entry-1", "entry-2", "sidecar-0", "sidecar-1");
        nodes.forEach(fleet::kill);
        nodes.forEach(fleet::restart);
        fleet.time().runUntil(fleet.time().now() + 5_000);
        fleet.submit(0, "job", SampleJobs.plan(2, /* durable= */ true));
        fleet.time().runUntil(fleet.time().now() + 5_000);
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "job"), fleet::logLines);
    }
}
