package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UnclaimedRunsTest {
    private static final long LONGER_THAN_ANY_ADOPTION = 5_000;
    private static final int ROUNDS = 6;

    private final SetLoop loop = new SetLoop();
    private final RunBook book = new RunBook();
    private final Map<String, OwnerLease> owners = new HashMap<>();
    private final Map<String, Integer> asked = new TreeMap<>();

    /** An entry that is without the store can't answer; asked alone, it would keep the ends of all others for long. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void everyEntryIsAskedInTurn(int entries) {
        for (int number = 0; number < entries; number++) {
            OwnerLease owner = new OwnerLease("entry-" + number, SidecarTimings.forLease(1_000));
            owner.reset(loop.monotonicMilliseconds());
            owners.put(owner.incarnation(), owner);
        }
        book.discover(new RunIdentity(new TaskIdentity("job", 0, 0, 0), 1), loop.monotonicMilliseconds());
        UnclaimedRuns unclaimed =
                new UnclaimedRuns(loop, (entry, frame) -> asked.merge(entry, 1, Integer::sum), book, owners);
        for (int round = 0; round < ROUNDS; round++) {
            loop.now += LONGER_THAN_ANY_ADOPTION;
            unclaimed.ask();
        }
        Map<String, Integer> evenly = new TreeMap<>();
        owners.keySet().forEach(owner -> evenly.put(owner, ROUNDS / entries));
        assertEquals(evenly, asked);
    }

    /** Loop whose time a test sets; it runs nothing. */
    private static final class SetLoop implements DecisionLoop {
        private long now;

        @Override
        public long monotonicMilliseconds() {
            return now;
        }

        @Override
        public long wallClockMilliseconds() {
            return now;
        }

        @Override
        public void after(long milliseconds, Runnable action) {}

        @Override
        public DecisionLog log() {
            throw new UnsupportedOperationException("nothing is decided here");
        }
    }
}
