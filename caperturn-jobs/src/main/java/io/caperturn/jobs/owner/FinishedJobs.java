package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.JobState;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Final states of the jobs that finished at an entry within a retention time. */
final class FinishedJobs {
    private final DecisionLoop loop;
    private final long retentionMilliseconds;
    private final Map<String, FinishedJob> jobs = new LinkedHashMap<>();

    FinishedJobs(DecisionLoop loop, long retentionMilliseconds) {
        this.loop = loop;
        this.retentionMilliseconds = retentionMilliseconds;
    }

    /** Final state of a job, and when it was reached, in milliseconds of the monotonic clock. */
    private record FinishedJob(JobState state, long finishedAt) {}

    long retentionMilliseconds() {
        return retentionMilliseconds;
    }

    /** Returns the final state of a job, or null if none is known. */
    JobState find(String job) {
        FinishedJob found = jobs.get(job);
        return found == null ? null : found.state();
    }

    boolean contains(String job) {
        return jobs.containsKey(job);
    }

    void add(String job, JobState state) {
        jobs.put(job, new FinishedJob(state, loop.monotonicMilliseconds()));
    }

    /** Forgets the jobs that finished before the retention time. */
    void forgetOld() {
        long expiredBefore = loop.monotonicMilliseconds() - retentionMilliseconds;
        Iterator<FinishedJob> oldest = jobs.values().iterator();
        while (oldest.hasNext() && oldest.next().finishedAt() < expiredBefore) {
            oldest.remove();
        }
    }

    void clear() {
        jobs.clear();
    }
}
