package io.caperturn.fleet;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
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
 * Watch of the settings file: it is read again on SIGHUP, and when it has changed without a signal.
 *
 * <p>Addresses and limits hold for the life of a process, so a change is told in the log and takes effect with the next
 * start. Without a handler the signal would end the process.
 */
final class SettingsWatch {
    /** Interval of the look at the file's time, in milliseconds: a change is no matter of seconds. */
    private static final long LOOK_MILLISECONDS = 2_000;

    private final DecisionLoop loop;
    private final Path file;
    private PlatformSettings inForce;
    private FileTime changed;

    SettingsWatch(DecisionLoop loop, Path file, PlatformSettings inForce) {
        this.loop = loop;
        this.file = file;
        this.inForce = inForce;
    }

    /** Begins to watch. */
    void start() {
        changed = changedAt();
        Signal.handle(new Signal("HUP"), signal -> loop.after(0, () -> reload("signal")));
        loop.after(LOOK_MILLISECONDS, this::look);
    }

    private void look() {
        FileTime now = changedAt();
        if (now != null && !now.equals(changed)) {
            reload("file-changed");
        }
        loop.after(LOOK_MILLISECONDS, this::look);
    }

    /** Reads the file again and tells what has changed. */
    void reload(String cause) {
        changed = changedAt();
        try {
            PlatformSettings news = PlatformSettings.of(Files.readAllBytes(file));
            loop.log()
                    .event(
                            EventName.RELOAD,
                            EventKey.CAUSE,
                            cause,
                            EventKey.CHANGED,
                            differences(inForce, news),
                            EventKey.EFFECT,
                            "next-start");
            inForce = news;
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

    private FileTime changedAt() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            loop.log().event(EventName.SETTINGS_UNREACHABLE, EventKey.REASON, e.getMessage());
            return null;
        }
    }

    /** Names the settings that differ. */
    static List<String> differences(PlatformSettings before, PlatformSettings after) {
        List<String> names = new ArrayList<>();
        for (RecordComponent component : PlatformSettings.class.getRecordComponents()) {
            try {
                Object old = component.getAccessor().invoke(before);
                if (!Objects.equals(old, component.getAccessor().invoke(after))) {
                    names.add(component.getName());
                }
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("an accessor of a public record is always there", e);
            }
        }
        return names;
    }
}
