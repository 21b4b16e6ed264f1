package io.caperturn.replay;

import io.caperturn.replay.policy.ReplayPolicy;
import io.caperturn.replay.report.Measures;
import io.caperturn.replay.report.Report;
import io.caperturn.replay.simulation.Simulation;
import io.caperturn.replay.trace.Trace;
import java.util.ArrayList;
import java.util.List;

/** Replay of a trace through the decision logic in virtual time, once for each policy. */
public final class Replay {
    private Replay() {}

    /**
     * Replays a trace.
     *
     * @param trace the trace
     * @param deployment the machines and delays
     * @param policies what decides, in the order of the report
     * @param seed seed of all chance
     * @return the report
     */
    public static Report run(Trace trace, Deployment deployment, List<ReplayPolicy> policies, long seed) {
        List<Measures> measures = new ArrayList<>();
        for (ReplayPolicy policy : policies) {
            measures.add(Simulation.run(trace, deployment, policy, seed));
        }
        return new Report(trace.header().name(), deployment.name(), seed, measures);
    }
}
