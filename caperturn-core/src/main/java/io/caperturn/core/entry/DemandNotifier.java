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
 * Notifies each sidecar of its demand: the number of tasks waiting in this entry that the sidecar could run.
 *
 * <p>Every dispatch message carries the current demand. A separate message is sent only when demand arises while
 * nothing can be dispatched, and again at regular intervals while it lasts, because a sidecar discards demand that is
 * not repeated. Confined to the thread of the {@link EntryMachine}.
 */
final class DemandNotifier {
    /** Shorter than the time after which a sidecar discards demand. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    private final Scheduler scheduler;
    private final Map<ProcessId, SentDemand> lastSent = new HashMap<>();

    DemandNotifier(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void recordSent(ProcessId sidecar, int demand, Instant now) {
        lastSent.put(sidecar, new SentDemand(demand, now));
    }

    void forget(ProcessId sidecar) {
        lastSent.remove(sidecar);
    }

    /** Notifies the sidecars that were last sent no demand or a demand of zero. */
    void notifyNew(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            SentDemand sent = lastSent.get(sidecar);
            if (sent == null || sent.demand() == 0) {
                sendDemand(sidecar, commands, now);
            }
        }
    }

    /** Sends the demand to the sidecars that were not notified within the repeat interval. */
    void repeat(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            SentDemand sent = lastSent.get(sidecar);
            if (sent == null || !now.isBefore(sent.at().plus(REPEAT_INTERVAL))) {
                sendDemand(sidecar, commands, now);
            }
        }
    }

    private void sendDemand(ProcessId sidecar, List<EntryMachineCommand> commands, Instant now) {
        int demand = scheduler.countStartableTasks(sidecar);
        if (demand > 0) {
            recordSent(sidecar, demand, now);
            commands.add(new EntryMachineCommand.SendDemand(sidecar, demand));
        }
    }

    /**
     * Demand last sent to a sidecar.
     *
     * @param demand the number of waiting tasks that the sidecar could run
     * @param at the time at which it was sent
     */
    private record SentDemand(int demand, Instant at) {}
}
