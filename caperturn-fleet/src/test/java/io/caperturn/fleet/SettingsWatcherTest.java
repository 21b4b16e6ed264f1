package io.caperturn.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventName;
import io.caperturn.platform.PlatformSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the settings file is watched on after content that can't be used. */
class SettingsWatcherTest {
    private static final String SETTINGS = """
            {"nodeName":"side-1","ip":"10.1.0.14","internalPorts":[%s],"platform":{"address":"10.200.1.7:8169"},
             "bounds":{"maxHoldMs":1000,"status_s":120}}""";

    private final List<EventName> events = new ArrayList<>();
    private final Deque<Runnable> timers = new ArrayDeque<>();

    private void runNextTimer() {
        Runnable action = timers.poll();
        try {
            if (action != null) {
                action.run();
            }
        } catch (RuntimeException e) {
            events.add(EventName.EXCEPTION); // as the loop of a process does
        }
    }

    private static void write(Path file, String port, long modifiedMilliseconds) throws IOException {
        Files.writeString(file, SETTINGS.formatted(port));
        Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMilliseconds));
    }

    @ParameterizedTest
    @ValueSource(strings = {"70000", "-1", "99999999999", "99999999999999999999", "\"7720\"", "", "[[", "null"})
    void laterChangeIsReadAfterInvalidSettings(String port, @TempDir Path directory) throws IOException {
        Path file = directory.resolve("settings.json");
        write(file, "7720", 1_000);
        new SettingsWatcher(new TimerLoop(), file, PlatformSettings.parse(Files.readAllBytes(file))).start();
        write(file, port, 2_000);
        runNextTimer();
        write(file, "7721", 3_000);
        runNextTimer();
        assertEquals(List.of(EventName.RELOAD_FAILED, EventName.RELOAD), events);
    }

    private final class TimerLoop implements DecisionLoop, DecisionLog {
        @Override
        public long monotonicMilliseconds() {
            return 0;
        }

        @Override
        public long wallClockMilliseconds() {
            return 0;
        }

        @Override
        public void after(long milliseconds, Runnable action) {
            timers.add(action);
        }

        @Override
        public DecisionLog log() {
            return this;
        }

        @Override
        public void event(EventName name, Object... pairs) {
            events.add(name);
        }

        @Override
        public void count(String name) {}

        @Override
        public void duration(String name, long milliseconds) {}
    }
}
