package io.caperturn.store.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Table;
import io.caperturn.store.FakePlatformStore;
import io.caperturn.store.RowKey;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the watcher of the table. */
class TableWatcherTest {
    private static final RowKey VERSION = new RowKey("versions", "table");
    private static final int WAIT_SECONDS = 10;

    private final FakePlatformStore store = new FakePlatformStore();
    private final Heard heard = new Heard();
    private final TableWatcher watcher = new TableWatcher(store, Duration.ofHours(1), heard);

    @AfterEach
    void stop() {
        watcher.stop();
    }

    @Test
    void handsOverTheTableAndConfirmsIt() throws InterruptedException {
        store.put(
                new RowKey("kinds", "kind"),
                "{\"kind\":\"kind\",\"weight\":3,\"urgency\":\"URGENT\","
                        + "\"limits\":{\"running\":4},\"taskTimeoutMilliseconds\":1000,\"changeId\":\"c\"}");
        store.put(VERSION, version(3));

        watcher.start();

        Table table = heard.tables.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(table);
        assertEquals(3, table.version());
        assertEquals(4, table.kind("kind").orElseThrow().limits().running());
        heard.awaitConfirmation();
    }

    @Test
    void leavesOutARowThatIsOutOfRange() throws InterruptedException {
        store.put(new RowKey("kinds", "bad"), "{\"kind\":\"bad\",\"weight\":0,\"urgency\":\"URGENT\"}");
        store.put(new RowKey("teams", "team"), "{\"team\":\"team\"}");
        store.put(VERSION, version(1));

        watcher.start();

        Table table = heard.tables.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(table);
        assertEquals(Set.of(), table.kinds().keySet());
        assertEquals(Set.of("team"), table.teams().keySet());
    }

    @Test
    void neitherHandsOverNorConfirmsALowerVersion() throws InterruptedException {
        store.put(VERSION, version(3));
        watcher.start();
        heard.awaitConfirmation();
        heard.tables.clear();

        store.put(VERSION, version(2));
        pollOnce();

        assertNull(heard.tables.poll());
        assertNull(heard.confirmations.poll());
    }

    @Test
    void confirmsNothingWhileTheStoreIsDown() throws InterruptedException {
        store.put(VERSION, version(1));
        watcher.start();
        heard.awaitConfirmation();

        store.setDown(true);
        pollOnce();

        assertNull(heard.confirmations.poll());
    }

    /** Polls, and stops the watcher, which waits for the poll's end. */
    private void pollOnce() throws InterruptedException {
        int before = store.reads();
        watcher.pollSoon();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (store.reads() == before) {
            assertTrue(System.nanoTime() < end, "not polled");
            Thread.sleep(1);
        }
        watcher.stop();
    }

    private static String version(long version) {
        return "{\"version\":" + version + ",\"changeId\":\"c\"}";
    }

    /** What the watcher told. */
    private static final class Heard implements TableListener {
        private final BlockingQueue<Table> tables = new LinkedBlockingQueue<>();
        private final BlockingQueue<Instant> confirmations = new LinkedBlockingQueue<>();

        private void awaitConfirmation() throws InterruptedException {
            assertNotNull(confirmations.poll(WAIT_SECONDS, TimeUnit.SECONDS), "not confirmed");
        }

        @Override
        public void onTable(Table table) {
            tables.add(table);
        }

        @Override
        public void onConfirmed(Instant readSentAt) {
            confirmations.add(readSentAt);
        }
    }
}
