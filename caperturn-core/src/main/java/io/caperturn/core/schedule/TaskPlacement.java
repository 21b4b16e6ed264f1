package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskKey;
import java.util.Objects;

/**
 * Decision of a scheduler to run a waiting task at the upstream beside a sidecar process.
 *
 * @param task the task
 * @param sidecar the sidecar of the chosen upstream
 */
public record TaskPlacement(TaskKey task, ProcessId sidecar) {
    /** Checks that no component is null. */
    public TaskPlacement {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(sidecar, "sidecar");
    }
}
