package io.caperturn.sidecar.internal;

import io.caperturn.wire.message.TableRows;
import java.util.List;
import java.util.stream.LongStream;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Model check of the table in force: network threads of several links take rows in, others read the version. */
public class TableKeeperLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS_PER_ITERATION = 300;
    private static final List<TableRows> ROWS = LongStream.range(0, 4)
            .mapToObj(version -> TableRows.newBuilder().setVersion(version).build())
            .toList();

    private final TableKeeper table = new TableKeeper();

    /**
     * Takes rows in.
     *
     * @param number chooses their version
     * @return false if a higher version is in force
     */
    @Operation
    public boolean accept(int number) {
        return table.accept(ROWS.get(Math.floorMod(number, ROWS.size())));
    }

    /**
     * Reads the version in force.
     *
     * @return the version
     */
    @Operation
    public long tableVersion() {
        return table.tableVersion();
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
                .check(TableKeeperLincheckTest.class);
    }
}
