package io.caperturn.jobs.zone;

import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import java.util.function.Consumer;

/**
 * Listener to a stored table that holds a record for each evacuated availability zone; passes the set on when it is
 * first known and whenever it has changed. The value of a record is not used.
 */
public final class EvacuationTracker implements TableFollower.Listener {
    private final String namePrefix;
    private final Consumer<EvacuatedZones> receiver;
    private EvacuatedZones zones = EvacuatedZones.NONE;
    /** Whether the receiver has yet to be given the present set. */
    private boolean changed = true;

    /**
     * Creates a tracker that knows of no zone.
     *
     * @param namePrefix start of the names of the records; the rest of each name is a zone
     * @param receiver receives the set after the table has been read, and after each change
     */
    public EvacuationTracker(String namePrefix, Consumer<EvacuatedZones> receiver) {
        this.namePrefix = namePrefix;
        this.receiver = receiver;
    }

    @Override
    public void handleChange(StoredRecord stored) {
        String name = stored.key().name();
        if (isEvacuation(name)) {
            zones = zones.with(name.substring(namePrefix.length()), stored.version());
            changed = true;
        }
    }

    @Override
    public void handleRemoval(String name) {
        if (isEvacuation(name)) {
            zones = zones.without(name.substring(namePrefix.length()));
            changed = true;
        }
    }

    @Override
    public void changesApplied() {
        if (changed) {
            changed = false;
            receiver.accept(zones);
        }
    }

    private boolean isEvacuation(String name) {
        return name.startsWith(namePrefix) && name.length() > namePrefix.length();
    }
}
