package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.record.RecordKey;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RecordTransaction;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a table is followed on after a record whose handling fails with an unexpected exception. */
class TableFollowerFaultTest {
    private final VirtualTime time = new VirtualTime();
    private final MemoryStore store = new MemoryStore(time);
    private final VirtualLoop loop = new VirtualLoop(time, "process");
    private final RecordStore view = store.viewFor(loop);
    private final TreeSet<String> handled = new TreeSet<>();

    private void put(String name) {
        view.transact(
                new RecordTransaction(Map.of(), Map.of(new RecordKey("table", "", name), new byte[] {1}), List.of()),
                outcome -> {});
        time.runUntil(time.now() + 100);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void laterRecordsAreHandled(boolean presentAtStart) {
        if (presentAtStart) {
            put("bad");
        }
        new TableFollower(view, loop, "table", new TableFollower.Listener() {
                    @Override
                    public void handleChange(StoredRecord stored) {
                        if (stored.key().name().equals("bad")) {
                            throw new IllegalStateException("unexpected");
                        }
                        handled.add(stored.key().name());
                    }

                    @Override
                    public void handleRemoval(String name) {}
                })
                .start();
        time.runUntil(time.now() + 100);
        put("bad");
        put("first");
        put("second");
        assertEquals(new TreeSet<>(List.of("first", "second")), handled);
    }
}
