package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which entry process a sidecar process asks about an unclaimed run: a run whose owner, an entry, is silent or
 * unknown.
 */
class UnclaimedRunsTest {
    private static final long LONGER_THAN_ADOPTION_MILLISECONDS = 5_000;
    private static final int ROUNDS = 6;

    private final VirtualTime time = new VirtualTime();
    private final VirtualLoop loop = new VirtualLoop(time, "sidecar");
    private final RunRegistry registry = new RunRegistry();
    private final Map<String, OwnerLease> owners = new HashMap<>();
    private final Map<String, Integer> questionCounts = new TreeMap<>();

    /**
     * Guards against asking only one entry: if that entry cannot reach the store, it does not answer, and completions
     * are retained for a long time although other entries could answer.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void asksEntriesInTurn(int entries) {
        for (int number = 0; number < entries; number++) {
            OwnerLease owner =
                    new OwnerLease("entry-" + number, SidecarTimings.forLease(/* upstreamLeaseMilliseconds= */ 1_000));
            owner.openLink(loop.monotonicMilliseconds());
            owners.put(owner.incarnation(), owner);
        }
        registry.addDiscovered(
                new RunIdentity(new TaskIdentity("job", 0, 0, 0), /* number= */ 1),
                new RunClaim.Expiring(Long.MAX_VALUE),
                loop.monotonicMilliseconds());
        UnclaimedRuns unclaimed = new UnclaimedRuns(
                loop, (entry, frame) -> questionCounts.merge(entry, 1, Integer::sum), registry, owners);
        for (int round = 0; round < ROUNDS; round++) {
            time.runUntil(time.now() + LONGER_THAN_ADOPTION_MILLISECONDS);
            unclaimed.askEntries();
        }
        Map<String, Integer> expected = new TreeMap<>();
        owners.keySet().forEach(owner -> expected.put(owner, ROUNDS / entries));
        assertEquals(expected, questionCounts);
    }
}
