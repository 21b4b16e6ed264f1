package io.caperturn.kernel;

import java.util.ArrayList;
import java.util.List;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Model check, with Lincheck, that the queue is linearizable for many producers and one consumer that does not wait.
 */
public class BoundedMpscQueueLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS_PER_ITERATION = 500;

    private final BoundedMpscQueue<Integer> queue = new BoundedMpscQueue<>(2);

    /**
     * Offers an element.
     *
     * @param element the element
     * @return false if the queue is full
     */
    @Operation
    public boolean offer(int element) {
        return queue.offer(element);
    }

    /**
     * Removes one element without waiting.
     *
     * @return a list with the element; empty if the queue is empty
     */
    @Operation(nonParallelGroup = "consumer")
    public List<Integer> drainOne() {
        List<Integer> drained = new ArrayList<>();
        queue.drainTo(drained, /* limit= */ 1, /* timeoutNanoseconds= */ 0);
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
                .check(BoundedMpscQueueLincheckTest.class);
    }
}
