package io.caperturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import io.caperturn.wire.message.AttemptIdentity;
import io.caperturn.wire.message.ProcessIdentity;
import io.caperturn.wire.message.Report;
import io.caperturn.wire.message.State;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that records survive the conversion to messages and back, and that invalid messages are rejected. */
class MessageCodecTest {
    private static final SubmissionId SUBMISSION = new SubmissionId("team/ü", "key 1");

    static Stream<AttemptState> states() {
        Duration serviceTime = Duration.ofNanos(1_234_000);
        return Stream.concat(
                Stream.of(
                        new AttemptState.Queued(),
                        new AttemptState.Running(),
                        new AttemptState.Done(new TaskOutcome.Completed("{\"a\":1}", serviceTime)),
                        new AttemptState.Done(new TaskOutcome.Completed("", Duration.ZERO)),
                        new AttemptState.Done(new TaskOutcome.Completed("slow", Duration.ofMinutes(60)))),
                Stream.concat(
                        Arrays.stream(Execution.values())
                                .map(execution -> new AttemptState.Done(
                                        new TaskOutcome.Failed(execution, "status 500", serviceTime))),
                        Arrays.stream(NotStartedReason.values()).map(AttemptState.NotStarted::new)));
    }

    @ParameterizedTest
    @MethodSource("states")
    void roundTripsStates(AttemptState state) {
        assertEquals(state, MessageCodec.fromMessage(MessageCodec.toMessage(state)));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, -1, Long.MAX_VALUE, Long.MIN_VALUE})
    void roundTripsIncarnations(long incarnation) {
        ProcessId process = new ProcessId("entry-1", incarnation);

        assertEquals(process, MessageCodec.fromMessage(MessageCodec.toMessage(process)));
    }

    @Test
    void roundTripsReportsInOrder() {
        AttemptId attempt =
                new AttemptId(new TaskKey(SUBMISSION, "task"), /* fence= */ Long.MAX_VALUE, /* attempt= */ 3);
        List<AttemptReport> reports = List.of(
                new AttemptReport(attempt, new AttemptState.Running()),
                new AttemptReport(new AttemptId(attempt.key(), 0, 1), new AttemptState.Queued()));

        assertEquals(reports, MessageCodec.fromMessages(MessageCodec.toMessages(reports)));
    }

    @Test
    void roundTripsUpstreams() {
        UpstreamDescription upstream = new UpstreamDescription(
                "upstream", Set.of("a", "b"), /* slots= */ 8, /* connections= */ 64, "worker", "rack", "zone");

        assertEquals(
                upstream,
                MessageCodec.fromMessage(MessageCodec.toMessage(upstream, /* serving= */ true, /* window= */ 16)));
    }

    @ParameterizedTest
    @EnumSource(Urgency.class)
    void roundTripsTables(Urgency urgency) {
        KindRow kind = new KindRow(
                "kind",
                /* weight= */ 3,
                urgency,
                new Limits(0, 5, Limits.UNLIMITED),
                Duration.ofSeconds(9),
                /* rowVersion= */ 4);
        Table table = new Table(
                /* version= */ 12, Map.of("kind", kind), Map.of("team", new TeamRow("team", new Limits(1, 0, 7), 5)));

        assertEquals(table, TableCodec.fromMessage(TableCodec.toMessage(table, Set.of())));
    }

    @Test
    void messageContainsOnlyRequestedKinds() {
        KindRow kind = new KindRow("kind", 3, Urgency.NORMAL, Limits.NONE, Duration.ofSeconds(9), 4);
        KindRow other = new KindRow("other", 3, Urgency.NORMAL, Limits.NONE, Duration.ofSeconds(9), 4);
        Table table = new Table(12, Map.of("kind", kind, "other", other), Map.of());

        assertEquals(
                Map.of("kind", kind),
                TableCodec.fromMessage(TableCodec.toMessage(table, Set.of("kind")))
                        .kinds());
    }

    /** Conversions of messages with absent or unknown values. */
    static Stream<Executable> garbage() {
        return Stream.of(
                () -> MessageCodec.fromMessage(ProcessIdentity.getDefaultInstance()),
                () -> MessageCodec.fromMessage(AttemptIdentity.getDefaultInstance()),
                () -> MessageCodec.fromMessage(State.getDefaultInstance()),
                () -> MessageCodec.fromMessages(List.of(Report.getDefaultInstance())),
                () -> MessageCodec.fromMessage(State.newBuilder()
                        .setNotStarted(State.NotStarted.newBuilder().setReason("NO_SUCH_REASON"))
                        .build()));
    }

    @ParameterizedTest
    @MethodSource("garbage")
    void rejectsFieldsOutOfRange(Executable conversion) {
        assertThrows(IllegalArgumentException.class, conversion);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 99})
    void readsUnknownExecutionAsMayHaveRun(int value) {
        State message = State.newBuilder()
                .setFailed(State.Failed.newBuilder().setExecutionValue(value))
                .build();

        AttemptState state = MessageCodec.fromMessage(message);

        assertEquals(new AttemptState.Done(new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "", Duration.ZERO)), state);
    }
}
