package io.caperturn.jobs.simulation;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.upstream.SidecarController;
import io.caperturn.jobs.upstream.SidecarTimings;
import io.caperturn.jobs.upstream.UpstreamPort;
import io.caperturn.jobs.zone.EvacuatedZones;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;

/** Sidecar with a simulated upstream, linked to an entry that the test plays; the frames that it sends are kept. */
final class SingleSidecar {
    static final String ENTRY = "entry~1";

    private final VirtualTime time = new VirtualTime();
    private final VirtualLoop loop = new VirtualLoop(time, "sidecar");
    private final List<JobFrame> frames = new ArrayList<>();
    private final SimulatedUpstream upstream;
    private final UpstreamPort port;
    private final ZoneEvacuations evacuations = new ZoneEvacuations(loop);
    private SidecarController controller;
    private long registration;

    /** Starts a sidecar whose upstream takes a time in milliseconds for each task. */
    SingleSidecar(long taskMilliseconds) {
        this(taskMilliseconds, (time, port) -> port);
    }

    /** Starts a sidecar that reaches its upstream through another port than the usual one, made from the latter. */
    SingleSidecar(long taskMilliseconds, BiFunction<VirtualTime, UpstreamPort, UpstreamPort> portChange) {
        evacuations.update(EvacuatedZones.NONE);
        upstream = new SimulatedUpstream(time, "upstream", new StartRecord(), task -> taskMilliseconds);
        port = portChange.apply(time, upstream.portFor(loop));
        startProcess();
        announce();
        time.runUntil(500);
        announce();
        controller.handleLinkOpened(ENTRY);
        time.runUntil(700);
    }

    private void startProcess() {
        SidecarController[] started = new SidecarController[1];
        started[0] = new SidecarController(
                loop,
                port,
                (entry, frame) -> {
                    if (controller == started[0]) { // the frames of an earlier process are lost
                        receive(frame);
                    }
                },
                SidecarTimings.forLease(/* upstreamLeaseMilliseconds= */ 1_000),
                "sidecar",
                new ZoneStartGate(evacuations, /* zone= */ ""));
        controller = started[0];
        registerAgain();
    }

    /**
     * Replaces the process by another one, which is linked and has listed the upstream's runs, but had no heartbeat.
     */
    void restart() {
        startProcess();
        controller.handleLinkOpened(ENTRY);
        time.runUntil(time.now() + 50);
    }

    /** Registers the process under the next number, so that it has the upstream's runs listed. */
    void registerAgain() {
        controller.setRegistration(++registration);
    }

    /** Keeps a frame, and renews the lease of the entry as entries do if the frame requests that. */
    private void receive(JobFrame frame) {
        frames.add(frame);
        if (frame instanceof JobFrame.Status status && status.renewal() != JobFrame.Status.NO_RENEWAL) {
            time.after(
                    /* milliseconds= */ 1,
                    () -> controller.handleFrame(ENTRY, new JobFrame.Lease(status.renewal(), /* authority= */ true)));
        }
    }

    void announce() {
        controller.handleAnnouncement(upstream.announcement());
    }

    VirtualTime time() {
        return time;
    }

    /** Returns the frames sent so far, which the test may clear. */
    List<JobFrame> frames() {
        return frames;
    }

    SimulatedUpstream upstream() {
        return upstream;
    }

    SidecarController controller() {
        return controller;
    }

    /** Returns the log lines of all processes. */
    List<String> logLines() {
        return loop.logLines();
    }

    /** Returns the last status that was sent. */
    JobFrame.Status lastStatus() {
        return (JobFrame.Status) frames.stream()
                .filter(frame -> frame instanceof JobFrame.Status)
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    /** Returns the first report sent that a run is over. */
    Optional<JobFrame.Report> finalReportOn(RunIdentity run) {
        return frames.stream()
                .filter(frame -> frame instanceof JobFrame.Report report
                        && report.run().equals(run)
                        && report.outcome().isFinished())
                .map(JobFrame.Report.class::cast)
                .findFirst();
    }
}
