package io.caperturn.replay.simulation;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryPolicy;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.schedule.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

/** An entry in virtual time: the real decision logic, alive, paused or gone. */
final class EntryNode {
    private final int number;
    private final ProcessId id;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final EntryMachine machine;
    private final BiConsumer<EntryNode, EntryMachineCommand> commands;
    private final Deque<EntryEvent> held = new ArrayDeque<>();
    private boolean alive = true;
    private boolean paused;

    EntryNode(int number, EventLoop loop, Scheduler scheduler, BiConsumer<EntryNode, EntryMachineCommand> commands) {
        this.number = number;
        this.id = new ProcessId("entry-" + number, 1);
        this.loop = loop;
        this.scheduler = scheduler;
        this.machine = new EntryMachine(scheduler, EntryPolicy.DEFAULT);
        this.commands = commands;
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

    boolean alive() {
        return alive;
    }

    boolean paused() {
        return paused;
    }

    void on(EntryEvent event) {
        if (!alive) {
            return;
        }
        if (paused) {
            held.add(event);
            return;
        }
        machine.on(event, loop.now()).forEach(command -> commands.accept(this, command));
    }

    void tick() {
        if (!paused) {
            on(new EntryEvent.Tick());
        }
    }

    void kill() {
        alive = false;
    }

    void pause(double milliseconds) {
        paused = true;
        loop.after(milliseconds, () -> {
            paused = false;
            while (!held.isEmpty()) {
                on(held.poll());
            }
        });
    }
}
