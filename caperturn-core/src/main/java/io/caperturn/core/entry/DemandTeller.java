package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Memory of what each sidecar was last told of the tasks that wait for it.
 *
 * <p>Demand rides on dispatches. It costs a message of its own only when it arises while no dispatch can be sent, and
 * when it lasts so long that the sidecar would forget it. Confined to the thread of the {@link EntryMachine}.
 */
final class DemandTeller {
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    private final Scheduler scheduler;
    private final Map<ProcessId, Told> lastTold = new HashMap<>();

    DemandTeller(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void told(ProcessId sidecar, int demand, Instant now) {
        lastTold.put(sidecar, new Told(demand, now));
    }

    void forget(ProcessId sidecar) {
        lastTold.remove(sidecar);
    }

    /** Tells the sidecars that were last told of no demand. */
    void tellNew(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            Told told = lastTold.get(sidecar);
            if (told == null || told.demand() == 0) {
                tell(sidecar, commands, now);
            }
        }
    }

    /** Tells the sidecars of demand that lasts. */
    void tellAgain(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            Told told = lastTold.get(sidecar);
            if (told == null || !now.isBefore(told.at().plus(REPEAT_INTERVAL))) {
                tell(sidecar, commands, now);
            }
        }
    }

    private void tell(ProcessId sidecar, List<EntryMachineCommand> commands, Instant now) {
        int demand = scheduler.countStartableTasks(sidecar);
        if (demand > 0) {
            told(sidecar, demand, now);
            commands.add(new EntryMachineCommand.SendDemand(sidecar, demand));
        }
    }

    /**
     * What a sidecar was told.
     *
     * @param demand how many tasks wait for it
     * @param at when it was told
     */
    private record Told(int demand, Instant at) {}
}
