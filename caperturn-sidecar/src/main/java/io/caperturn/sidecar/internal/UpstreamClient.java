package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.kernel.Service;
import java.util.function.Consumer;

/**
 * The way to the upstream: starts and aborts runs there. Another protocol of upstreams is another implementation.
 *
 * <p>May be called from any thread.
 */
public interface UpstreamClient extends Service {
    /**
     * Takes note of where the upstream is; runs that are started from then on go there.
     *
     * @param address the address as {@code host:port}
     * @param connections the most connections that it accepts
     */
    void follow(String address, int connections);

    /**
     * Starts a run.
     *
     * @param run what to run
     * @param whenEnded called exactly once, on another thread, with the outcome
     */
    void start(SidecarMachineCommand.StartRun run, Consumer<TaskOutcome> whenEnded);

    /**
     * Asks the upstream to abort a run; the run's end is still told to its own receiver.
     *
     * @param attempt the attempt
     */
    void cancel(AttemptId attempt);
}
