package io.caperturn.sidecar.internal;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.kernel.Service;
import java.util.function.Consumer;

/**
 * Client that starts and aborts runs at the upstream. A run is the execution of one attempt at a task. Each protocol
 * that upstreams speak has its own implementation.
 *
 * <p>Implementations are thread-safe.
 */
public interface UpstreamClient extends Service {
    /**
     * Sets the address of the upstream for runs that are started from now on.
     *
     * @param address the address as {@code host:port}
     * @param connections the maximum number of connections that the upstream accepts
     */
    void updateTarget(String address, int connections);

    /**
     * Starts a run of one attempt of a task.
     *
     * @param run the attempt, its payload and its time-out
     * @param outcomeListener called exactly once with the outcome: on the calling thread if no address is known,
     *     otherwise on a thread of the client
     */
    void start(SidecarMachineCommand.StartRun run, Consumer<TaskOutcome> outcomeListener);

    /**
     * Asks the upstream to abort a run. The outcome of the run is still passed to its listener.
     *
     * @param attempt the attempt whose run is aborted
     */
    void cancel(AttemptId attempt);
}
