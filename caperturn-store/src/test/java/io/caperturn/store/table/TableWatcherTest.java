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

/** Tests of what the watcher of the operators' table, which polls its version, passes to its listener. */
class TableWatcherTest {
    private static final RowKey VERSION_KEY = new RowKey("versions", "table");
    private static final int MAXIMUM_WAIT_SECONDS = 10;

    private final FakePlatformStore store = new FakePlatformStore();
    private final RecordingListener listener = new RecordingListener();
    /** The interval is so long that only requested polls take place. */
    private final TableWatcher watcher = new TableWatcher(store, Duration.ofHours(1), listener);

    @AfterEach
    void stop() {
        watcher.stop();
    }

    @Test
    void passesOnTableAndConfirmsIt() throws InterruptedException {
        store.put(
                new RowKey("kinds", "kind"),
                "{\"kind\":\"kind\",\"weight\":3,\"urgency\":\"URGENT\","
                        + "\"limits\":{\"running\":4},\"taskTimeoutMilliseconds\":1000,\"changeId\":\"c\"}");
        store.put(VERSION_KEY, versionRowJson(3));

        watcher.start();

        Table table = listener.tables.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(table);
        assertEquals(3, table.version());
        assertEquals(4, table.kind("kind").orElseThrow().limits().running());
        listener.awaitConfirmation();
    }

    @Test
    void omitsRowWithInvalidValue() throws InterruptedException {
        store.put(new RowKey("kinds", "bad"), "{\"kind\":\"bad\",\"weight\":0,\"urgency\":\"URGENT\"}");
        store.put(new RowKey("teams", "team"), "{\"team\":\"team\"}");
        store.put(VERSION_KEY, versionRowJson(1));

        watcher.start();

        Table table = listener.tables.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(table);
        assertEquals(Set.of(), table.kinds().keySet());
        assertEquals(Set.of("team"), table.teams().keySet());
    }

    @Test
    void neitherPassesOnNorConfirmsLowerVersion() throws InterruptedException {
        store.put(VERSION_KEY, versionRowJson(3));
        watcher.start();
        listener.awaitConfirmation();
        listener.tables.clear();

        store.put(VERSION_KEY, versionRowJson(2));
        pollOnce();

        assertNull(listener.tables.poll());
        assertNull(listener.confirmations.poll());
    }

    @Test
    void confirmsNothingWhileTheStoreIsDown() throws InterruptedException {
        store.put(VERSION_KEY, versionRowJson(1));
        watcher.start();
        listener.awaitConfirmation();

        store.setDown(true);
        pollOnce();

        assertNull(listener.confirmations.poll());
    }

    /** Polls once, then stops the watcher, which waits until the poll has finished. */
    private void pollOnce() throws InterruptedException {
        int before = store.readCount();
        watcher.requestPoll();
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAXIMUM_WAIT_SECONDS);
        while (store.readCount() == before) {
            assertTrue(System.nanoTime() < deadline, "not polled");
            Thread.sleep(1);
        }
        watcher.stop();
    }

    private static String versionRowJson(long version) {
        return "{\"version\":" + version + ",\"changeId\":\"c\"}";
    }

    /** Listener that records its calls. */
    private static final class RecordingListener implements TableListener {
        private final BlockingQueue<Table> tables = new LinkedBlockingQueue<>();
        private final BlockingQueue<Instant> confirmations = new LinkedBlockingQueue<>();

        private void awaitConfirmation() throws InterruptedException {
            assertNotNull(confirmations.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS), "not confirmed");
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
