package io.caperturn.jobs.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.jobs.model.PairSlowdown;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.model.UpstreamCrash;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that frames (messages between processes) survive encoding, and that invalid bytes are rejected. */
class JobFrameCodecTest {
    private static final RunIdentity RUN = new RunIdentity(new TaskIdentity("5c0e7a21d94b36f8", 3, 1, 17), 2_001);
    private static final Resources RESOURCES = new Resources(16_000, 32_768, 2);

    /** Returns frames of every kind, with arbitrary values. */
    static List<JobFrame> frames() {
        JobFrame.Report report = new JobFrame.Report(RUN, RunOutcome.FAILED, 120, "why");
        return List.of(
                new JobFrame.Hello(ProcessRole.ENTRY, "node", "node~1", ""),
                new JobFrame.Hello(ProcessRole.SIDECAR, "node", "node~2", "zone-a"),
                new JobFrame.Status(
                        true,
                        "service",
                        RESOURCES,
                        new Resources(-5, 0, 1),
                        77,
                        4,
                        List.of("a", "r1"),
                        9,
                        10,
                        750,
                        List.of(
                                new UpstreamCrash(3, 700, Map.of("queue", 12, "other", 1_000)),
                                new UpstreamCrash(4, 0, Map.of())),
                        3,
                        true),
                new JobFrame.Status(
                        false, "", Resources.NONE, Resources.NONE, 0, 0, List.of(), 0, 0, 0, List.of(), 0, false),
                new JobFrame.Lease(4, true),
                new JobFrame.Lease(5, false),
                new JobFrame.Dispatch(8, RUN, "payload", RESOURCES, 90, -40, 2, true, false, "queue", false, 4),
                new JobFrame.Dispatch(9, RUN, "", RESOURCES, 0, 0, 0, false, true, "", true, 0),
                new JobFrame.Withdraw(RUN),
                new JobFrame.Settled(RUN),
                report,
                new JobFrame.Report(
                        RUN,
                        RunOutcome.DONE,
                        90,
                        "",
                        Optional.of(new JobFrame.Room(new Resources(-1_600, 0, 0), 3, 12))),
                new JobFrame.Report(
                        RUN, RunOutcome.REFUSED, 0, "", Optional.of(new JobFrame.Room(Resources.NONE, 0, 0))),
                new JobFrame.Inventory("lost", true, 12, List.of(report, report)),
                new JobFrame.Inventory("", false, 0, List.of()),
                new JobFrame.FenceOwner("lost"),
                new JobFrame.Unclaimed(List.of("a", "b"), List.of(), ""),
                new JobFrame.Unclaimed(
                        List.of("a"), List.of(new JobFrame.Report(RUN, RunOutcome.DONE, 20, "")), "sidecar~1"),
                new JobFrame.JobOver("a"),
                new JobFrame.EntryState(Map.of("queue", 3)),
                new JobFrame.CancelJob("a"),
                new JobFrame.Slowdowns(List.of(), Map.of()),
                new JobFrame.Slowdowns(
                        List.of(new PairSlowdown("a", "b", 300, 40), new PairSlowdown("b", "a", -3, 1)),
                        Map.of("a", 250)));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void decodesEncodedFrame(JobFrame frame) throws IOException {
        assertEquals(frame, JobFrameCodec.decode(JobFrameCodec.encode(frame)));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void truncatedFrameIsDecodedOrRejectedWithIoException(JobFrame frame) {
        byte[] encoded = JobFrameCodec.encode(frame);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            try {
                JobFrameCodec.decode(truncated);
            } catch (IOException e) {
                // Rejected, as required.
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void randomBytesAreDecodedOrRejectedWithIoException(long seed) {
        Random random = new Random(seed);
        for (int round = 0; round < 2_000; round++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            if (bytes.length > 0) {
                // The first byte is the kind of the frame; 14 and 15 are unknown.
                bytes[0] = (byte) (1 + random.nextInt(16));
            }
            try {
                JobFrameCodec.decode(bytes);
            } catch (IOException e) {
                // Rejected, as required.
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 14, 15, 99, -1})
    void rejectsUnknownKind(int kind) {
        assertThrows(IOException.class, () -> JobFrameCodec.decode(new byte[] {(byte) kind}));
    }
}
