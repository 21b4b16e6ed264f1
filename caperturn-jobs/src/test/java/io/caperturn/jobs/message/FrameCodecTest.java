package io.caperturn.jobs.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class FrameCodecTest {
    private static final RunIdentity RUN = new RunIdentity(new TaskIdentity("5c0e7a21d94b36f8", 3, 1, 17), 2_001);
    private static final Resources RESOURCES = new Resources(16_000, 32_768, 2);

    static List<Frame> frames() {
        Frame.Report report = new Frame.Report(RUN, RunOutcome.FAILED, 120, "why");
        return List.of(
                new Frame.Hello(ProcessRole.ENTRY, "node", "node~1"),
                new Frame.Hello(ProcessRole.SIDECAR, "node", "node~2"),
                new Frame.Status(true, "service", RESOURCES, new Resources(-5, 0, 1), 77, 4, List.of("a", "r1"), 9, 10),
                new Frame.Status(false, "", Resources.NONE, Resources.NONE, 0, 0, List.of(), 0, 0),
                new Frame.Lease(4, true),
                new Frame.Lease(5, false),
                new Frame.Dispatch(8, RUN, "payload", RESOURCES, 90, -40, 2, true),
                new Frame.Withdraw(RUN),
                new Frame.Settled(RUN),
                report,
                new Frame.Inventory("lost", true, 12, List.of(report, report)),
                new Frame.Inventory("", false, 0, List.of()),
                new Frame.FenceOwner("lost"),
                new Frame.Unclaimed(List.of("a", "b")),
                new Frame.JobOver("a"),
                new Frame.EntryState(Map.of("queue", 3)),
                new Frame.CancelJob("a"));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void decodesEncodedFrame(Frame frame) throws IOException {
        assertEquals(frame, FrameCodec.decode(FrameCodec.encode(frame)));
    }

    @ParameterizedTest
    @MethodSource("frames")
    void truncatedFrameIsDecodedOrRejectedWithIoException(Frame frame) {
        byte[] encoded = FrameCodec.encode(frame);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            try {
                FrameCodec.decode(truncated);
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
                bytes[0] = (byte) (1 + random.nextInt(14));
            }
            try {
                FrameCodec.decode(bytes);
            } catch (IOException e) {
                // Rejected, as required.
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 14, 99, -1})
    void rejectsUnknownKind(int kind) {
        assertThrows(IOException.class, () -> FrameCodec.decode(new byte[] {(byte) kind}));
    }
}
