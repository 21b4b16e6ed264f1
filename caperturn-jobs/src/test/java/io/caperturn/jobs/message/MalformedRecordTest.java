package io.caperturn.jobs.message;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.UpstreamIncarnation;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that stored records which were changed at random are decoded or rejected with an {@link IOException}. Any other
 * exception would end the work of the process on all later records.
 */
class MalformedRecordTest {
    private static final int ROUNDS = 4_000;

    private interface Decoder {
        Object decode(byte[] bytes) throws IOException;
    }

    private record Sample(String name, byte[] valid, Decoder decoder) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Sample> samples() {
        UpstreamIncarnation upstream = new UpstreamIncarnation(
                "upstream", 1_700_000_000_000L, "service", new Resources(16_000, 32_768, 0), List.of("a", "r1"));
        MemberRecord member = new MemberRecord(
                ProcessRole.SIDECAR, "node", "node~1", "127.0.0.1:80", "zone-a", Optional.of(upstream));
        JobRecord job = new JobRecord(
                "entry~1",
                3,
                new JobPlan(
                        "queue",
                        "payload",
                        List.of(new StepPlan(4, new Resources(500, 256, 0), 900, List.of(), "a", "r1", 2)),
                        true),
                new QueuePolicy("queue", "", "", "service", 2, 3, 1.6, 400),
                1_700_000_000_000L,
                true,
                List.of(
                        new TaskProgress(2, true, List.of()),
                        new TaskProgress(3, false, List.of(new TaskProgress.RunRange(3_001, 1, RunFate.FAILED)))));
        return Stream.of(
                new Sample("member", member.toBytes(), bytes -> MemberRecord.decode("node", bytes)),
                new Sample("open job", job.toBytes(), JobRecord::decode),
                new Sample("closed job", new ClosedRecord(JobState.FAILED, 5).toBytes(), ClosedRecord::of));
    }

    @ParameterizedTest
    @MethodSource("samples")
    void changedRecordsAreDecodedOrRejected(Sample sample) {
        Random random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] changed = change(sample.valid(), random);
            try {
                sample.decoder().decode(changed);
            } catch (IOException e) {
                // Rejected, as required.
            }
        }
    }

    /**
     * Returns a copy in which up to four bytes are replaced, and which may be cut off or have a huge number inserted.
     */
    private static byte[] change(byte[] valid, Random random) {
        byte[] changed = valid.clone();
        for (int count = random.nextInt(5); count > 0; count--) {
            changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
        }
        if (random.nextInt(4) == 0) {
            int at = random.nextInt(Math.max(1, changed.length - 9));
            for (int offset = 0; offset < 8 && at + offset < changed.length; offset++) {
                changed[at + offset] = (byte) 0xff; // as a variable-length number: more than 32 bits
            }
        }
        return random.nextInt(4) == 0 ? Arrays.copyOf(changed, random.nextInt(changed.length)) : changed;
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 1_000_000_001, Long.MAX_VALUE, Long.MIN_VALUE})
    void membersWithACapacityOutOfRangeAreRejected(long capacity) {
        byte[] encoded = new FieldWriter()
                .writeLong(1, ProcessRole.SIDECAR.ordinal())
                .writeText(2, "node")
                .writeText(3, "node~1")
                .writeMessage(5, upstream -> upstream.writeMessage(4, resources -> resources.writeLong(1, capacity)))
                .toBytes();
        assertThrows(IOException.class, () -> MemberRecord.decode("node", encoded));
    }

    /** An address without a port can't be connected to. */
    @ParameterizedTest
    @ValueSource(strings = {"host", "host:", ":80", "host:port", "host:70000", "host:-1"})
    void membersWithAnInvalidAddressAreRejected(String address) {
        byte[] encoded = new FieldWriter()
                .writeText(2, "node")
                .writeText(3, "node~1")
                .writeText(4, address)
                .toBytes();
        assertThrows(IOException.class, () -> MemberRecord.decode("node", encoded));
    }
}
