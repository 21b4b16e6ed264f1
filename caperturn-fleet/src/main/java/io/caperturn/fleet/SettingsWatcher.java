package io.caperturn.fleet;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.platform.PlatformSettings;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import sun.misc.Signal;

/**
 * Watcher of the settings file, which it reads again on SIGHUP and when the file's modification time changes.
 *
 * <p>Addresses and limits are fixed while a process runs, so a change is only logged and takes effect at the next
 * start. SIGHUP needs a handler, because its default action terminates the process.
 */
final class SettingsWatcher {
    /** Interval of the check of the file's modification time, in milliseconds; a change is not urgent. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 2_000;

    private final DecisionLoop loop;
    private final Path file;
    private PlatformSettings lastReadSettings;
    private FileTime lastModified;

    SettingsWatcher(DecisionLoop loop, Path file, PlatformSettings lastReadSettings) {
        this.loop = loop;
        this.file = file;
        this.lastReadSettings = lastReadSettings;
    }

    /** Installs the signal handler and starts the periodic check. */
    void start() {
        lastModified = readLastModified();
        Signal.handle(new Signal("HUP"), signal -> loop.after(0, () -> reload("signal")));
        loop.after(CHECK_INTERVAL_MILLISECONDS, this::checkFile);
    }

    private void checkFile() {
        // Scheduled first, so that an unexpected exception does not end the checks.
        loop.after(CHECK_INTERVAL_MILLISECONDS, this::checkFile);
        FileTime modified = readLastModified();
        if (modified != null && !modified.equals(lastModified)) {
            reload("file-changed");
        }
    }

    /** Reads the file again and logs the names of the settings that have changed. */
    void reload(String cause) {
        lastModified = readLastModified();
        try {
            PlatformSettings loaded = PlatformSettings.parse(Files.readAllBytes(file));
            loop.log()
                    .event(
                            EventName.RELOAD,
                            EventKey.CAUSE,
                            cause,
                            EventKey.CHANGED,
                            differences(lastReadSettings, loaded),
                            EventKey.EFFECT,
                            "next-start");
            lastReadSettings = loaded;
        } catch (IOException e) {
            loop.log()
                    .event(
                            EventName.RELOAD_FAILED,
                            EventKey.CAUSE,
                            cause,
                            EventKey.REASON,
                            e.getMessage(),
                            EventKey.EFFECT,
                            "none");
        }
    }

    /** Returns the modification time of the file; null, with a line in the log, if it can't be read. */
    private FileTime readLastModified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            loop.log().event(EventName.SETTINGS_UNREACHABLE, EventKey.REASON, e.getMessage());
            return null;
        }
    }

    /** Returns the names of the settings that differ, in the order of their declaration. */
    static List<String> differences(PlatformSettings first, PlatformSettings second) {
        List<String> names = new ArrayList<>();
        for (RecordComponent component : PlatformSettings.class.getRecordComponents()) {
            try {
                Object value = component.getAccessor().invoke(first);
                if (!Objects.equals(value, component.getAccessor().invoke(second))) {
                    names.add(component.getName());
                }
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("cannot call the accessor of a record component", e);
            }
        }
        return names;
    }
}
