package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the description of an upstream that a sidecar process stores for its next incarnation. One that is restarted
 * while its upstream leaves must not send tasks there by the stored description.
 */
class StoredUpstreamTest {
    private static final UpstreamIncarnation UPSTREAM = new UpstreamIncarnation(
            "upstream", /* startEpochMilliseconds= */ 1_000, "service", new Resources(16_000, 32_768, 0), List.of("a"));

    private final SidecarController sidecar = new SidecarController(
            new IdleLoop(),
            new SilentUpstream(),
            (to, frame) -> {},
            SidecarTimings.forLease(1_000),
            "node",
            new ZoneStartGate(new ZoneEvacuations(new IdleLoop()), "zone"));

    private void announce(long sequence, boolean leaving) {
        sidecar.handleAnnouncement(new UpstreamAnnouncement(UPSTREAM, sequence, leaving, /* coldMilliseconds= */ 0));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void upstreamThatLeavesIsNotStored(boolean storedBefore) {
        Optional<UpstreamIncarnation> stored = storedBefore ? Optional.of(UPSTREAM) : Optional.empty();
        assertEquals(stored, sidecar.upstreamToStore(stored), "unknown upstream");

        announce(/* sequence= */ 1, /* leaving= */ false);
        assertEquals(Optional.of(UPSTREAM), sidecar.upstreamToStore(stored));

        announce(/* sequence= */ 2, /* leaving= */ true);
        assertEquals(Optional.empty(), sidecar.upstreamToStore(Optional.of(UPSTREAM)));
    }

    /** Guards against a restarted sidecar that sends tasks to an upstream which had announced its stop. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void upstreamThatAnnouncedItsStopIsNotStored(boolean lateHeartbeat) {
        announce(/* sequence= */ 1, /* leaving= */ false);
        sidecar.handleStopNotice(UPSTREAM.identity());
        if (lateHeartbeat) {
            announce(/* sequence= */ 2, /* leaving= */ false);
        }
        assertEquals(Optional.empty(), sidecar.upstreamToStore(Optional.of(UPSTREAM)));
    }

    /** Loop that runs no actions and logs nothing. */
    private static final class IdleLoop implements DecisionLoop, DecisionLog {
        @Override
        public long monotonicMilliseconds() {
            return 0;
        }

        @Override
        public long wallClockMilliseconds() {
            return 0;
        }

        @Override
        public void after(long milliseconds, Runnable action) {}

        @Override
        public DecisionLog log() {
            return this;
        }

        @Override
        public void event(EventName event, Object... pairs) {}

        @Override
        public void count(String counter) {}

        @Override
        public void duration(String histogram, long milliseconds) {}

        @Override
        public void level(String name, long value) {}
    }

    /** Upstream that never answers. */
    private static final class SilentUpstream implements UpstreamPort {
        @Override
        public void start(RunIdentity run, String payload, Order order, long timeout, Consumer<Answer> receiver) {}

        @Override
        public void stop(RunIdentity run, Order order, long timeout, Consumer<Answer> receiver) {}

        @Override
        public void hold(Order order, long acknowledged, long wait, long timeout, Consumer<Answer> receiver) {}
    }
}
