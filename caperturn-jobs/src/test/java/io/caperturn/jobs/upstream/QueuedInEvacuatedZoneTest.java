package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.zone.EvacuatedZones;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what becomes of a run that is queued at its sidecar when an evacuation arrives. */
class QueuedInEvacuatedZoneTest {
    private final QuietLoop loop = new QuietLoop();
    private final ZoneEvacuations evacuations = new ZoneEvacuations(loop);
    private final RunRegistry registry = new RunRegistry();
    private final DispatchCheck check =
            new DispatchCheck(loop, registry, null, null, null, new ZoneStartGate(evacuations, "own"));

    private LocalRun enqueue() {
        LocalRun run = new LocalRun(new RunIdentity(new TaskIdentity("job", 0, 0, 0), 1), /* createdAt= */ 0);
        run.setOwner("entry~1", /* now= */ 0);
        run.setDetails("payload", new Resources(1_600, 64, 0), 100, 200, /* newUrgency= */ 0);
        registry.enqueue(run);
        return run;
    }

    @ParameterizedTest
    @CsvSource({"own, zone-evacuated, 1", "other, '', 0"})
    void runIsReturnedIfItsZoneIsEvacuated(String zone, String reason, int level) {
        evacuations.update(EvacuatedZones.NONE);
        LocalRun run = enqueue();
        assertEquals(List.of(), check.refuseQueuedInEvacuatedZone());

        evacuations.update(EvacuatedZones.NONE.with(zone, /* version= */ 5));
        List<LocalRun> returned = check.refuseQueuedInEvacuatedZone();
        assertEquals(level == 1 ? List.of(run) : List.of(), returned);
        assertEquals(level == 1 ? RunOutcome.REFUSED : RunOutcome.QUEUED, run.outcome());
        assertEquals(reason, run.reason());
        assertEquals(level == 1 ? List.of() : List.of(run), registry.queuedRuns());
        assertEquals(1L, loop.levels.get("evacuated-zones"), "levels count all zones");

        evacuations.update(EvacuatedZones.NONE);
        enqueue();
        assertEquals(List.of(), check.refuseQueuedInEvacuatedZone());
        assertEquals(0L, loop.levels.get("evacuated-zones"));
    }

    /** Nothing is started before it is known which zones are evacuated. */
    @ParameterizedTest
    @CsvSource({"own", "''"})
    void runIsReturnedWhileEvacuationsAreUnknown(String zone) {
        ZoneStartGate gate = new ZoneStartGate(evacuations, zone);
        assertTrue(!gate.isOpen());
        assertEquals("evacuations-unknown", gate.refusalReason().orElseThrow());
        enqueue();
        assertEquals(1, check.refuseQueuedInEvacuatedZone().size());
        evacuations.update(EvacuatedZones.NONE);
        assertTrue(gate.isOpen());
    }

    /** Loop without timers that remembers levels. */
    private static final class QuietLoop implements DecisionLoop, DecisionLog {
        private final Map<String, Long> levels = new HashMap<>();

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
        public void event(EventName name, Object... pairs) {}

        @Override
        public void count(String name) {}

        @Override
        public void duration(String name, long milliseconds) {}

        @Override
        public void level(String name, long value) {
            levels.put(name, value);
        }
    }
}
