package io.caperturn.replay;

import io.caperturn.replay.policy.ReplayPolicy;
import io.caperturn.replay.report.Measures;
import io.caperturn.replay.report.ReplayReport;
import io.caperturn.replay.simulation.Simulation;
import io.caperturn.replay.trace.Trace;
import java.util.ArrayList;
import java.util.List;

/** Replays a trace through the decision logic of entry and sidecar processes in virtual time, once for each policy. */
public final class Replay {
    private Replay() {}

    /**
     * Replays a trace.
     *
     * @param trace the trace
     * @param deployment the deployment that is simulated
     * @param policies the scheduling policies, in the order of the report
     * @param seed seed of the random number generators
     * @return the report, with the measures of each policy
     */
    public static ReplayReport run(Trace trace, Deployment deployment, List<ReplayPolicy> policies, long seed) {
        List<Measures> measures = new ArrayList<>();
        for (ReplayPolicy policy : policies) {
            measures.add(Simulation.run(trace, deployment, policy, seed));
        }
        return new ReplayReport(trace.header().name(), deployment.name(), seed, measures);
    }
}
