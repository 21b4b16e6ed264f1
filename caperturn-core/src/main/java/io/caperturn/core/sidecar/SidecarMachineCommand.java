package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.util.List;

/** What a {@link SidecarMachine} wants done. */
public sealed interface SidecarMachineCommand {
    /**
     * Start an attempt at the upstream; a slot and a connection are free for it.
     *
     * @param attempt the attempt
     * @param kind the kind of work
     * @param payload the body for the upstream
     * @param timeout the longest time that it may run
     */
    record StartRun(AttemptId attempt, String kind, String payload, Duration timeout) implements SidecarMachineCommand {}

    /**
     * Abort a run whose result nobody wants; its outcome still arrives.
     *
     * @param attempt the attempt
     */
    record AbortRun(AttemptId attempt) implements SidecarMachineCommand {}

    /**
     * Send reports to an entry, in one frame.
     *
     * @param entry the entry
     * @param reports the reports, at least one
     * @param window most attempts that the entry may have outstanding here from now on
     */
    record SendReports(ProcessId entry, List<AttemptReport> reports, int window) implements SidecarMachineCommand {
        /** Copies the reports. */
        public SendReports {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Answer a resolve.
     *
     * @param entry the entry
     * @param attempt the attempt that it asked about
     * @param state what the ledger says
     */
    record SendResolved(ProcessId entry, AttemptId attempt, AttemptState state) implements SidecarMachineCommand {}

    /**
     * Answer a fence.
     *
     * @param entry the adopter
     * @param submission the submission
     * @param fence the fence number now in force here
     * @param reports the ledger's lines of the submission
     */
    record SendFenced(ProcessId entry, SubmissionId submission, long fence, List<AttemptReport> reports)
            implements SidecarMachineCommand {
        /** Copies the reports. */
        public SendFenced {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Tell an entry its window, when no report can carry it.
     *
     * @param entry the entry
     * @param window most attempts that the entry may have outstanding here
     */
    record SendWindow(ProcessId entry, int window) implements SidecarMachineCommand {}

    /**
     * Tell an entry about the upstream.
     *
     * @param entry the entry
     * @param upstream the upstream
     * @param serving false while the upstream is leaving, silent or absent
     * @param window most attempts that the entry may have outstanding here
     */
    record SendUpstream(ProcessId entry, UpstreamDescription upstream, boolean serving, int window)
            implements SidecarMachineCommand {}

    /** Everything accepted has ended and was reported; the process may stop. */
    record Drained() implements SidecarMachineCommand {}
}
