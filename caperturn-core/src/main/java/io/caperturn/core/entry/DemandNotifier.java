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
 * Tells each sidecar process its demand: the number of tasks that wait in this entry process and that the sidecar could
 * run.
 *
 * <p>A sidecar divides its capacity among the entries by their demand. Every dispatch message carries the current
 * demand. Demand that arises while nothing can be dispatched is sent on its own. It is repeated at an interval while it
 * lasts, because a sidecar discards demand that is not repeated. Confined to the thread of the {@link EntryMachine}.
 */
final class DemandNotifier {
    /** Interval between repetitions; shorter than the time after which a sidecar discards demand. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);

    private final Scheduler scheduler;
    private final Map<ProcessId, SentDemand> lastSentDemands = new HashMap<>();

    DemandNotifier(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    void recordSentDemand(ProcessId sidecar, int demand, Instant now) {
        lastSentDemands.put(sidecar, new SentDemand(demand, now));
    }

    void removeSidecar(ProcessId sidecar) {
        lastSentDemands.remove(sidecar);
    }

    /** Sends the demand to each sidecar that was sent no demand yet, or last a demand of zero. */
    void sendNewDemand(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            SentDemand sent = lastSentDemands.get(sidecar);
            if (sent == null || sent.demand() == 0) {
                sendDemand(sidecar, commands, now);
            }
        }
    }

    /** Sends the demand again to each sidecar that was sent no demand within the repeat interval. */
    void repeatDemand(Collection<ProcessId> sidecars, List<EntryMachineCommand> commands, Instant now) {
        for (ProcessId sidecar : sidecars) {
            SentDemand sent = lastSentDemands.get(sidecar);
            if (sent == null || !now.isBefore(sent.sentAt().plus(REPEAT_INTERVAL))) {
                sendDemand(sidecar, commands, now);
            }
        }
    }

    private void sendDemand(ProcessId sidecar, List<EntryMachineCommand> commands, Instant now) {
        int demand = scheduler.countStartableTasks(sidecar);
        if (demand > 0) {
            recordSentDemand(sidecar, demand, now);
            commands.add(new EntryMachineCommand.SendDemand(sidecar, demand));
        }
    }

    /**
     * Demand that was last sent to a sidecar.
     *
     * @param demand the number of waiting tasks that the sidecar could run
     * @param sentAt the time at which it was sent
     */
    private record SentDemand(int demand, Instant sentAt) {}
}
