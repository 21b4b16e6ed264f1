package io.caperturn.replay.simulation;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

/**
 * Simulated entry (process that accepts submissions), which runs the real decision logic in virtual time and can be
 * paused and killed.
 */
final class SimulatedEntry {
    private final int number;
    private final ProcessId id;
    private final VirtualTimeLoop loop;
    private final Scheduler scheduler;
    private final EntryMachine machine;
    private final BiConsumer<SimulatedEntry, EntryMachineCommand> commandHandler;
    private final Deque<EntryEvent> deferredEvents = new ArrayDeque<>();
    private boolean alive = true;
    private boolean paused;

    SimulatedEntry(
            int number,
            VirtualTimeLoop loop,
            Scheduler scheduler,
            BiConsumer<SimulatedEntry, EntryMachineCommand> commandHandler) {
        this.number = number;
        this.id = new ProcessId("entry-" + number, /* incarnation= */ 1);
        this.loop = loop;
        this.scheduler = scheduler;
        this.machine = new EntryMachine(scheduler, EntryPolicy.DEFAULT);
        this.commandHandler = commandHandler;
    }

    int number() {
        return number;
    }

    ProcessId id() {
        return id;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return paused;
    }

    void handleEvent(EntryEvent event) {
        if (!alive) {
            return;
        }
        if (paused) {
            deferredEvents.add(event);
            return;
        }
        machine.handleEvent(event, loop.currentTime()).forEach(command -> commandHandler.accept(this, command));
    }

    void tick() {
        if (!paused) {
            handleEvent(new EntryEvent.Tick());
        }
    }

    void kill() {
        alive = false;
    }

    void pause(double milliseconds) {
        paused = true;
        loop.scheduleAfter(milliseconds, () -> {
            paused = false;
            while (!deferredEvents.isEmpty()) {
                handleEvent(deferredEvents.poll());
            }
        });
    }
}
