package io.caperturn.kernel;

import java.util.ArrayList;
import java.util.List;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Model check of the ring: many producers, one consumer that does not wait. */
public class RingLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS_PER_ITERATION = 500;

    private final Ring<Integer> ring = new Ring<>(2);

    /**
     * Offers an element.
     *
     * @param element the element
     * @return false if the ring is full
     */
    @Operation
    public boolean offer(int element) {
        return ring.offer(element);
    }

    /**
     * Takes one element without waiting.
     *
     * @return the element, or nothing
     */
    @Operation(nonParallelGroup = "consumer")
    public List<Integer> drainOne() {
        List<Integer> drained = new ArrayList<>();
        ring.drainTo(drained, 1, 0);
        return drained;
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(ITERATIONS)
                .invocationsPerIteration(INVOCATIONS_PER_ITERATION)
                .threads(3)
                .actorsPerThread(2)
                .actorsBefore(1)
                .actorsAfter(1)
                .check(RingLincheckTest.class);
    }
}
