package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.TaskProgress;
import io.caperturn.jobs.model.RunFate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that what counts under a task does not depend on the order of reports, nor on how often they arrive. */
class RunHistoryTest {
    private static final int RUNS = 12;
    private static final int REPORTS = 40;

    private record Told(int run, RunFate fate) {}

    private static RunHistory apply(List<Told> reports) {
        RunHistory history = RunHistory.EMPTY;
        for (Told told : reports) {
            history = history.with(told.run(), told.fate());
        }
        return history;
    }

    /**
     * Guards against more or fewer attempts than allowed because reports were lost, repeated or overtook each other.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void historyIsTheSameInAnyOrderAndWithRepetitions(long seed) {
        Random random = new Random(seed);
        List<Told> reports = new ArrayList<>();
        for (int number = 0; number < REPORTS; number++) {
            RunFate fate = RunFate.of(random.nextInt(RunFate.values().length));
            reports.add(new Told(1 + random.nextInt(RUNS), fate));
        }
        RunHistory expected = apply(reports);
        for (int order = 0; order < 100; order++) {
            List<Told> others = new ArrayList<>(reports);
            others.addAll(reports.subList(0, random.nextInt(REPORTS)));
            Collections.shuffle(others, random);
            RunHistory history = apply(others);
            assertEquals(expected, history);
            // The owner may change in between, so that the progress is stored and restored.
            int change = random.nextInt(others.size());
            RunHistory restored = RunHistory.of(apply(others.subList(0, change)).toRanges());
            for (Told told : others.subList(change, others.size())) {
                restored = restored.with(told.run(), told.fate());
            }
            assertEquals(expected, restored);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 50})
    void successiveRunsAreStoredAsOneRange(int runs) {
        RunHistory history = RunHistory.EMPTY;
        for (int run = runs; run >= 1; run--) {
            history = history.with(1_000 + run, RunFate.FAILED);
        }
        assertEquals(List.of(new TaskProgress.RunRange(1_001, runs, RunFate.FAILED)), history.toRanges());
        assertEquals(runs, history.failures());
    }
}
