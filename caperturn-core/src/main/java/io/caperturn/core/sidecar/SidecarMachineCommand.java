package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.util.List;

/** Command from a {@link SidecarMachine} to the code that performs its input and output. */
public sealed interface SidecarMachineCommand {
    /**
     * Starts an attempt at the upstream, where a slot and a connection are free for it.
     *
     * @param attempt the attempt
     * @param kind the kind of work
     * @param payload the request body for the upstream, JSON text
     * @param timeout the maximum run time
     */
    record StartRun(AttemptId attempt, String kind, String payload, Duration timeout)
            implements SidecarMachineCommand {}

    /**
     * Aborts a run whose result is no longer needed; its outcome is still delivered as an event.
     *
     * @param attempt the attempt
     */
    record AbortRun(AttemptId attempt) implements SidecarMachineCommand {}

    /**
     * Sends reports to an entry in one frame.
     *
     * @param entry the entry
     * @param reports the reports, at least one
     * @param window the new maximum number of attempts that the entry may have outstanding at this sidecar
     */
    record SendReports(ProcessId entry, List<AttemptReport> reports, int window) implements SidecarMachineCommand {
        /** Copies the reports. */
        public SendReports {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Answers a resolve request.
     *
     * @param entry the entry
     * @param attempt the requested attempt
     * @param state the state of the attempt in the ledger
     */
    record SendResolved(ProcessId entry, AttemptId attempt, AttemptState state) implements SidecarMachineCommand {}

    /**
     * Answers a fence request.
     *
     * @param entry the entry that adopts the submission
     * @param submission the submission
     * @param fence the fencing token now in force at this sidecar
     * @param reports the ledger lines of the submission
     */
    record SendFenced(ProcessId entry, SubmissionId submission, long fence, List<AttemptReport> reports)
            implements SidecarMachineCommand {
        /** Copies the reports. */
        public SendFenced {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Sends an entry its window in a message of its own, because there is no report to send with it.
     *
     * @param entry the entry
     * @param window the maximum number of attempts that the entry may have outstanding at this sidecar
     */
    record SendWindow(ProcessId entry, int window) implements SidecarMachineCommand {}

    /**
     * Sends an entry the description and state of the upstream.
     *
     * @param entry the entry
     * @param upstream the upstream
     * @param serving false while the upstream is leaving, silent or absent
     * @param window the maximum number of attempts that the entry may have outstanding at this sidecar
     */
    record SendUpstream(ProcessId entry, UpstreamDescription upstream, boolean serving, int window)
            implements SidecarMachineCommand {}

    /** Reports that every accepted attempt has finished; the process may stop. */
    record Drained() implements SidecarMachineCommand {}
}
