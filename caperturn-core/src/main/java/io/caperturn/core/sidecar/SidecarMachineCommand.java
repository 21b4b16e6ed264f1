package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.util.List;

/**
 * Command from a {@link SidecarMachine} to the code that does its input and output.
 *
 * <p>A sidecar is the process beside an upstream that starts tasks there and records each attempt in its ledger. An
 * entry is a process that accepts submissions and dispatches attempts to run their tasks to sidecars.
 */
public sealed interface SidecarMachineCommand {
    /**
     * Starts the run of an attempt at the upstream; a slot of the upstream and a connection are free for it.
     *
     * @param attempt the attempt
     * @param kind the name of the kind of work
     * @param payload the request body for the upstream, JSON text
     * @param timeout the maximum run time of the task
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
     * Sends reports on attempts to an entry in one message.
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
     * Answers a resolve request, by which an entry asked for the state of an attempt.
     *
     * @param entry the entry that asked
     * @param attempt the requested attempt
     * @param state the state of the attempt in the ledger
     */
    record SendResolved(ProcessId entry, AttemptId attempt, AttemptState state) implements SidecarMachineCommand {}

    /**
     * Answers a fence request, by which an entry that adopted a submission has this sidecar refuse further dispatches
     * of the former owner.
     *
     * @param entry the entry that adopted the submission
     * @param submission the submission
     * @param fence the lowest fencing token with which this sidecar still accepts attempts of the submission
     * @param reports the states of the submission's attempts in the ledger
     */
    record SendFenced(ProcessId entry, SubmissionId submission, long fence, List<AttemptReport> reports)
            implements SidecarMachineCommand {
        /** Copies the reports. */
        public SendFenced {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Sends an entry its window when no report is sent to it.
     *
     * @param entry the entry
     * @param window the maximum number of attempts that the entry may have outstanding at this sidecar
     */
    record SendWindow(ProcessId entry, int window) implements SidecarMachineCommand {}

    /**
     * Sends an entry the description and state of the upstream.
     *
     * @param entry the entry
     * @param upstream the description of the upstream
     * @param serving false while the upstream is leaving, has stopped announcing itself or is not known
     * @param window the maximum number of attempts that the entry may have outstanding at this sidecar
     */
    record SendUpstream(ProcessId entry, UpstreamDescription upstream, boolean serving, int window)
            implements SidecarMachineCommand {}

    /** Reports that every accepted attempt has finished after a planned stop began; the process can exit. */
    record Drained() implements SidecarMachineCommand {}
}
