package io.caperturn.sidecar.internal;

import io.caperturn.wire.message.TableRows;
import java.util.List;
import java.util.stream.LongStream;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Checks that concurrent updates of the operators' table and reads of its version, on the threads of several links,
 * linearize.
 */
public class TableReplicaLincheckTest {
    private static final int ITERATIONS = 10;
    private static final int INVOCATIONS_PER_ITERATION = 300;
    private static final List<TableRows> ROWS = LongStream.range(0, 4)
            .mapToObj(version -> TableRows.newBuilder().setVersion(version).build())
            .toList();

    private final TableReplica table = new TableReplica();

    /**
     * Applies rows.
     *
     * @param number selects the version of the rows
     * @return false if the present version is higher
     */
    @Operation
    public boolean applyRows(int number) {
        return table.applyRows(ROWS.get(Math.floorMod(number, ROWS.size())));
    }

    /**
     * Reads the table version.
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
                .check(TableReplicaLincheckTest.class);
    }
}
