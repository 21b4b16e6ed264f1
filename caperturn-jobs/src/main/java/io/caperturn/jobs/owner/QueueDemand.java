package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.StepPlan;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Work of the jobs that callers submit to an entry, refused ones included, by queue; earlier jobs count less. */
final class QueueDemand {
    /** Age at which work counts for about a third, in milliseconds. */
    private static final double MEMORY_MILLISECONDS = 5_000;

    private final DecisionLoop loop;
    private final Map<String, Demand> demandByQueue = new HashMap<>();

    QueueDemand(DecisionLoop loop) {
        this.loop = loop;
    }

    private static final class Demand {
        private final String service;
        private double work;
        private long updatedAt;

        Demand(String service) {
            this.service = service;
        }

        double workAt(long now) {
            return work * Math.exp((updatedAt - now) / MEMORY_MILLISECONDS);
        }
    }

    /** Records a submitted job. */
    void record(JobPlan plan, QueuePolicy policy) {
        Demand demand = demandByQueue.computeIfAbsent(policy.name(), key -> new Demand(policy.service()));
        long now = loop.monotonicMilliseconds();
        double work = 0;
        for (StepPlan step : plan.steps()) {
            work += (double) step.taskCount()
                    * step.resourcesPerTask().processorMillis()
                    * step.estimatedMilliseconds();
        }
        demand.work = demand.workAt(now) + work;
        demand.updatedAt = now;
    }

    /** Returns the fraction of the work for a service that belongs to some queues; 0 if there is none. */
    double share(String service, Set<String> queues) {
        long now = loop.monotonicMilliseconds();
        double selected = 0;
        double total = 0;
        for (Map.Entry<String, Demand> element : demandByQueue.entrySet()) {
            if (element.getValue().service.equals(service)) {
                double work = element.getValue().workAt(now);
                total += work;
                selected += queues.contains(element.getKey()) ? work : 0;
            }
        }
        return total == 0 ? 0 : selected / total;
    }
}
